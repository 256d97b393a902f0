use super::write_state::RecordLimits;
use super::*;
use crate::engine::test_support::{instant, job, jobs_with, placement};
use crate::model::PlacementStage;
use crate::placement::TaskStart;
use crate::store::StoreCall;
use crate::wire::user::JobKind;

const LIMITS: RecordLimits = RecordLimits {
    starts_per_record: 2,
    records_per_transaction: 1,
};

fn task_starts(count: u32) -> Vec<TaskStart> {
    let start = |index| TaskStart {
        job: "run-1".into(),
        index,
        machine: "host-1".into(),
    };
    (0..count).map(start).collect()
}

fn round_write(count: u32) -> RoundWrite {
    let versions = BTreeMap::from([(JobId::from("run-1"), 3)]);
    RoundWrite::new(1, &task_starts(count), versions, LIMITS)
}

#[test]
fn round_number_contains_term_and_is_none_when_term_is_exhausted() {
    let mut rounds = Rounds::default();
    let first = rounds.next_number(5).unwrap();
    assert_eq!(first >> constants::ROUND_BITS, 5);
    assert_eq!(rounds.next_number(5), Some(first + 1));
    rounds.count = (1 << constants::ROUND_BITS) - 1;
    assert_eq!(rounds.next_number(5), None);
}

#[test]
fn round_is_durable_only_after_all_parts_are_durable() {
    let mut write = round_write(3);
    assert!(write.needs_multiple_transactions());
    let first_transaction = write.transaction(40);
    assert_eq!(first_transaction.mutations.len(), 1);
    let compared = first_transaction
        .comparisons
        .iter()
        .map(|comparison| (&*comparison.key, comparison.version));
    let compared: Vec<_> = compared.collect();
    let part = "rounds/0000000000000001";
    assert_eq!(
        compared,
        [("live/lead", 40), (part, 0), ("live/job/run-1", 3)]
    );
    assert!(write.was_already_applied(&[part.into()]));
    assert!(!write.on_parts_durable());
    assert_eq!(write.durable_keys().collect::<Vec<_>>(), [part]);
    assert!(
        !write.was_already_applied(&[part.into()]),
        "the next part is in flight"
    );
    assert!(write.on_parts_durable());
    assert_eq!(write.into_round().parts.len(), 2);
}

#[test]
fn round_is_contained_while_being_written_or_open() {
    let mut rounds = Rounds::default();
    rounds.writing.insert(1, round_write(2));
    assert!(rounds.is_writing_single() && !rounds.is_writing_several());
    rounds.writing.insert(2, round_write(3));
    assert!(rounds.is_writing_several());
    let part = RoundPart {
        key: "rounds/3".into(),
        starts: Vec::new(),
    };
    rounds.add_open_part(3, part);
    assert!(rounds.contains(1) && rounds.contains(3) && !rounds.contains(4));
}

#[test]
fn orphan_search_starts_after_delay_once_late_write_is_expected() {
    let mut search = OrphanSearch::default();
    assert!(search.next_call(instant(0)).is_none());
    search.expect_late_write(instant(0));
    assert!(search.next_call(instant(1)).is_none());
    let due = instant(0) + constants::ORPHANED_ROUND_SEARCH_DELAY;
    let call = search.next_call(due);
    assert!(matches!(call, Some(StoreCall::List { after: None, .. })));
}

#[test]
fn round_is_closed_once_no_start_is_placed_or_lacks_durable_completion() {
    let mut job = job(JobKind::Array, 1);
    job.place(0, placement(PlacementStage::Planned));
    let mut rounds = Rounds::default();
    let group = StartGroup {
        job: "run-1".into(),
        machine: "host-1".into(),
        tasks: vec![0],
    };
    let part = RoundPart {
        key: "rounds/1".into(),
        starts: vec![group],
    };
    rounds.add_open_part(1, part);
    let mut jobs = jobs_with(job);
    assert!(rounds.close_finished(&jobs).is_empty());
    let job = jobs.get_mut(&"run-1".into()).unwrap();
    job.remove_placement(0);
    job.complete_task(0);
    assert!(
        rounds.close_finished(&jobs).is_empty(),
        "completion is not durable yet"
    );
    let job = jobs.get_mut(&"run-1".into()).unwrap();
    job.durable_completions.insert(0);
    assert_eq!(rounds.close_finished(&jobs), ["rounds/1"]);
    assert!(!rounds.contains(1));
}
