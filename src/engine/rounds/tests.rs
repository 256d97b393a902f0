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

fn starts(count: u32) -> Vec<TaskStart> {
    let start = |index| TaskStart {
        job: "run-1".into(),
        index,
        machine: "host-1".into(),
    };
    (0..count).map(start).collect()
}

fn write_of(count: u32) -> RoundWrite {
    let versions = BTreeMap::from([(JobId::from("run-1"), 3)]);
    RoundWrite::new(1, &starts(count), versions, LIMITS)
}

#[test]
fn round_numbers_hold_the_term_and_end_with_it() {
    let mut rounds = Rounds::default();
    let first = rounds.next_number(5).unwrap();
    assert_eq!(first >> constants::ROUND_BITS, 5);
    assert_eq!(rounds.next_number(5), Some(first + 1));
    rounds.count = (1 << constants::ROUND_BITS) - 1;
    assert_eq!(rounds.next_number(5), None);
}

#[test]
fn a_round_is_durable_when_all_of_its_parts_are() {
    let mut write = write_of(3);
    assert!(write.needs_several());
    let first = write.transaction(40);
    assert_eq!(first.mutations.len(), 1);
    let compared = first.comparisons.iter().map(|one| (&*one.key, one.version));
    let compared: Vec<_> = compared.collect();
    let part = "rounds/0000000000000001";
    assert_eq!(
        compared,
        [("live/lead", 40), (part, 0), ("live/job/run-1", 3)]
    );
    assert!(write.is_durable_already(&[part.into()]));
    assert!(!write.on_parts_durable());
    assert_eq!(write.durable_keys().collect::<Vec<_>>(), [part]);
    assert!(!write.is_durable_already(&[part.into()]), "the next part");
    assert!(write.on_parts_durable());
    assert_eq!(write.into_round().parts.len(), 2);
}

#[test]
fn a_round_is_known_while_it_is_written_or_open() {
    let mut rounds = Rounds::default();
    rounds.writing.insert(1, write_of(2));
    assert!(rounds.is_writing_single() && !rounds.is_writing_several());
    rounds.writing.insert(2, write_of(3));
    assert!(rounds.is_writing_several());
    let part = RoundPart {
        key: "rounds/3".into(),
        starts: Vec::new(),
    };
    rounds.add_open_part(3, part);
    assert!(rounds.knows(1) && rounds.knows(3) && !rounds.knows(4));
}

#[test]
fn records_are_searched_a_while_after_a_late_write_may_have_left_some() {
    let mut search = OrphanSearch::default();
    assert!(search.next_call(instant(0)).is_none());
    search.expect_late_write(instant(0));
    assert!(search.next_call(instant(1)).is_none());
    let due = instant(0) + constants::ORPHANED_ROUND_SEARCH_DELAY;
    let call = search.next_call(due);
    assert!(matches!(call, Some(StoreCall::List { after: None, .. })));
}

#[test]
fn a_round_is_closed_when_none_of_its_starts_matters_any_more() {
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
    assert!(rounds.close_finished(&jobs).is_empty(), "not durable yet");
    let job = jobs.get_mut(&"run-1".into()).unwrap();
    job.durable_completions.insert(0);
    assert_eq!(rounds.close_finished(&jobs), ["rounds/1"]);
    assert!(!rounds.knows(1));
}
