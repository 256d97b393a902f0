use super::*;
use crate::engine::test_support::{context_at, job, jobs_with};
use crate::wire::user::JobKind;

/// Returns the transaction that is due for the job, `millis` ms after the start of the process.
fn next_transaction_for(
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
fn end_of_job_is_conditional_on_leader_key_and_job_record_version() {
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 1);
    job.complete_task(0);
    completions.add_finished(&"run-1".into());
    let (transaction, batch) = next_transaction_for(&mut completions, &job, 0).unwrap();
    let compared = transaction.comparisons.iter();
    let compared: Vec<_> = compared
        .map(|comparison| (&*comparison.key, comparison.version))
        .collect();
    assert_eq!(compared, [(LEADER_KEY, 40), ("live/job/run-1", 1)]);
    assert_eq!(
        transaction.mutations.len(),
        constants::MUTATIONS_PER_FINISHED_JOB
    );
    assert_eq!(batch.finished[0].job, JobId::from("run-1"));
    assert!(
        next_transaction_for(&mut completions, &job, 0).is_none(),
        "a transaction is in flight"
    );
}

#[test]
fn failed_transaction_is_retried_with_the_same_changes() {
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 2);
    job.complete_task(0);
    completions.add_progress(&"run-1".into());
    completions.add_removal("rounds/1".into());
    let (transaction, batch) = next_transaction_for(&mut completions, &job, 0).unwrap();
    assert_eq!(transaction.mutations.len(), 2);
    assert_eq!(batch.progress[0].tasks, [0]);
    assert_eq!(batch.progress[0].keys, ["work/run-1/0"]);
    completions.on_failed(batch, &mut context_at(0));
    let (retried, _) = next_transaction_for(&mut completions, &job, 5_000).unwrap();
    assert_eq!(retried, transaction);
}

#[test]
fn progress_waits_for_its_interval_but_job_ends_do_not() {
    let mut completions = Completions::default();
    let mut array = job(JobKind::Array, 2);
    array.complete_task(0);
    completions.add_progress(&"run-1".into());
    assert!(next_transaction_for(&mut completions, &array, 0).is_some());
    completions.on_committed(context_at(0).now());
    completions.add_progress(&"run-1".into());
    assert!(next_transaction_for(&mut completions, &array, 100).is_none());
    array.complete_task(1);
    completions.add_finished(&"run-1".into());
    assert!(next_transaction_for(&mut completions, &array, 100).is_some());
}

#[test]
fn cancelled_job_is_deleted_only_after_its_last_placement_is_gone() {
    use crate::engine::test_support::placement;
    use crate::model::PlacementStage;
    let mut completions = Completions::default();
    let mut job = job(JobKind::Array, 1);
    job.phase = JobPhase::Cancelled;
    job.place(0, placement(PlacementStage::Planned));
    completions.add_finished(&"run-1".into());
    assert!(next_transaction_for(&mut completions, &job, 0).is_none());
    job.remove_placement(0);
    completions.add_finished(&"run-1".into());
    let (transaction, _) = next_transaction_for(&mut completions, &job, 0).unwrap();
    assert_eq!(transaction.mutations.len(), 1);
}
