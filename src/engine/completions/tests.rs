use super::*;
use crate::engine::test_support::{context_at, job, jobs_with};
use crate::wire::user::JobKind;

/// Writes what is due of `run-1`, at that time after the process's start.
fn write(
    completions: &mut Completions,
    job: &Job,
    millis: u64,
) -> Option<(Transaction, CompletionBatch)> {
    let sources = CompletionSources {
        jobs: &jobs_with(job.clone()),
        dependencies: &Dependencies::default(),
        context: &context_at(millis),
        leader_version: 40,
    };
    completions.next_transaction(sources)
}

#[test]
fn the_end_of_a_job_is_written_on_condition_of_leadership_and_of_its_record() {
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 1);
    job.complete_task(0);
    completions.add_finished(&"run-1".into());
    let (transaction, batch) = write(&mut completions, &job, 0).unwrap();
    let compared = transaction.comparisons.iter();
    let compared: Vec<_> = compared.map(|one| (&*one.key, one.version)).collect();
    assert_eq!(compared, [(LEADER_KEY, 40), ("live/job/run-1", 1)]);
    assert_eq!(
        transaction.mutations.len(),
        constants::MUTATIONS_PER_FINISHED_JOB
    );
    assert_eq!(batch.finished[0].job, JobId::from("run-1"));
    assert!(
        write(&mut completions, &job, 0).is_none(),
        "one is in flight"
    );
}

#[test]
fn what_was_not_written_is_written_again() {
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 2);
    job.complete_task(0);
    completions.add_progress(&"run-1".into());
    completions.add_removal("rounds/1".into());
    let (transaction, batch) = write(&mut completions, &job, 0).unwrap();
    assert_eq!(transaction.mutations.len(), 2);
    assert_eq!(batch.progress[0].tasks, [0]);
    assert_eq!(batch.progress[0].keys, ["work/run-1/0"]);
    completions.on_failed(batch, &mut context_at(0));
    let (again, _) = write(&mut completions, &job, 5_000).unwrap();
    assert_eq!(again, transaction);
}

#[test]
fn progress_is_written_now_and_then_and_ends_at_once() {
    let mut completions = Completions::default();
    let mut array = job(JobKind::Array, 2);
    array.complete_task(0);
    completions.add_progress(&"run-1".into());
    assert!(write(&mut completions, &array, 0).is_some());
    completions.on_committed(context_at(0).now());
    completions.add_progress(&"run-1".into());
    assert!(write(&mut completions, &array, 100).is_none());
    array.complete_task(1);
    completions.add_finished(&"run-1".into());
    assert!(write(&mut completions, &array, 100).is_some());
}

#[test]
fn a_cancelled_job_is_removed_once_it_is_gone_from_all_machines() {
    use crate::engine::test_support::placement;
    use crate::model::PlacementStage;
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 1);
    job.phase = JobPhase::Cancelled;
    job.place(0, placement(PlacementStage::Planned));
    completions.add_finished(&"run-1".into());
    assert!(write(&mut completions, &job, 0).is_none());
    job.remove_placement(0);
    completions.add_finished(&"run-1".into());
    let (transaction, _) = write(&mut completions, &job, 0).unwrap();
    assert_eq!(transaction.mutations.len(), 1);
}
