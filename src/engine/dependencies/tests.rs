use super::*;
use crate::engine::test_support::{context_at, dependent};
use crate::wire::store::Mutation;

const NOW: UnixTime = UnixTime::from_millis(5_000);

/// Returns two blocked jobs: `run-1` depends on `run-0`, and `run-2` on `run-1`.
fn dependency_chain() -> Dependencies {
    let mut dependencies = Dependencies::default();
    for (id, depends_on) in [("run-1", "run-0"), ("run-2", "run-1")] {
        let record = JobRecord::new(dependent(id, &[depends_on]), NOW);
        dependencies.insert(id.into(), record, 3);
    }
    dependencies
}

fn unknown_state(_: &JobId) -> UpstreamState {
    UpstreamState::Unknown
}

#[test]
fn evaluation_runs_only_after_a_change() {
    let mut dependencies = dependency_chain();
    let evaluation = dependencies.evaluate(|_| UpstreamState::Open).unwrap();
    assert!(evaluation.unblocked.is_empty());
    let inheriting_ids = evaluation.inherited.keys().map(|id| &*id.0);
    assert_eq!(inheriting_ids.collect::<Vec<_>>(), ["run-0", "run-1"]);
    assert!(dependencies.evaluate(|_| UpstreamState::Open).is_none());
    dependencies.request_evaluation();
    let evaluation = dependencies.evaluate(|_| UpstreamState::Done).unwrap();
    assert_eq!(evaluation.unblocked, [JobId::from("run-1")]);
}

#[test]
fn unknown_final_state_is_read_once_and_unblocks_the_dependent() {
    let mut dependencies = dependency_chain();
    let mut context = context_at(0);
    dependencies.evaluate(unknown_state).unwrap();
    let reads = dependencies.begin_final_record_reads(context.now());
    assert_eq!(reads, [JobId::from("run-0")]);
    assert!(
        dependencies
            .begin_final_record_reads(context.now())
            .is_empty()
    );
    let done = Some(JobState::Done);
    dependencies.on_final_record_read(&reads[0], done, &mut context);
    let evaluation = dependencies.evaluate(unknown_state).unwrap();
    assert_eq!(evaluation.unblocked, [JobId::from("run-1")]);
}

#[test]
fn cancelled_dependency_cancels_all_transitive_dependents() {
    let mut dependencies = dependency_chain();
    dependencies.record_final_state(&"run-0".into(), JobState::Cancelled);
    let evaluation = dependencies.evaluate(unknown_state).unwrap();
    assert_eq!(evaluation.unblocked.len(), 2);
    let id = JobId::from("run-2");
    assert_eq!(dependencies.state(&id), Some(DependencyState::Cancelled));
    let transaction = dependencies.add_unblocked_job(&id, NOW, Transaction::default());
    assert_eq!(
        transaction.mutations.len(),
        2,
        "the final record is put and the live one deleted"
    );
    let written = dependencies.on_unblocked_job_written(&id, NOW);
    assert!(matches!(written, Some(UnblockedJob::Cancelled)));
    assert_eq!(dependencies.state(&id), None);
}

#[test]
fn job_with_satisfied_dependencies_is_rewritten_without_them() {
    let mut dependencies = dependency_chain();
    dependencies.evaluate(|_| UpstreamState::Done).unwrap();
    let id = JobId::from("run-1");
    let transaction = dependencies.add_unblocked_job(&id, NOW, Transaction::default());
    assert_eq!(transaction.comparisons[0].version, 3);
    let Mutation::Put { value, .. } = &transaction.mutations[0] else {
        panic!("{transaction:?}");
    };
    let record = records::decode_job(value.clone()).unwrap();
    assert!(!record.is_blocked());
    assert_eq!(record.ready_at, Some(NOW));
    let written = dependencies.on_unblocked_job_written(&id, NOW);
    assert!(matches!(written, Some(UnblockedJob::Ready(ready)) if *ready == record));
}

#[test]
fn waiting_job_adds_nothing_to_transaction() {
    let mut dependencies = dependency_chain();
    dependencies.evaluate(|_| UpstreamState::Open).unwrap();
    let id = JobId::from("run-1");
    let transaction = dependencies.add_unblocked_job(&id, NOW, Transaction::default());
    assert_eq!(transaction, Transaction::default());
}
