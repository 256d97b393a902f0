use super::*;
use crate::model::UnixTime;
use crate::wire::user::Priority;

fn id(n: usize) -> JobId {
    JobId::from(&*format!("run-{n:03}"))
}

/// Returns a pipeline of 100 jobs: each of the first 99 depends on its predecessor, and the last
/// depends on all others and on the unblocked job 0.
fn pipeline() -> BTreeMap<JobId, Vec<JobId>> {
    let mut jobs: BTreeMap<JobId, Vec<JobId>> =
        (1..100).map(|n| (id(n), vec![id(n - 1)])).collect();
    jobs.insert(id(100), (0..100).map(id).collect());
    jobs
}

/// Evaluates the jobs with `first` as the state of the only job that is not blocked.
fn evaluate_pipeline(
    jobs: &BTreeMap<JobId, Vec<JobId>>,
    first: UpstreamState,
) -> BTreeMap<JobId, DependencyState> {
    let graph: DependencyGraph<'_> = jobs
        .iter()
        .map(|(id, dependencies)| (id, dependencies.as_slice()))
        .collect();
    let order = evaluate(&graph, |_| first);
    order
        .into_iter()
        .map(|(id, state)| (id.clone(), state))
        .collect()
}

#[test]
fn state_of_the_first_job_determines_the_states_of_all_dependents() {
    let jobs = pipeline();
    let states_with = |first| {
        evaluate_pipeline(&jobs, first)
            .into_values()
            .collect::<Vec<_>>()
    };
    assert_eq!(
        states_with(UpstreamState::Cancelled),
        vec![DependencyState::Cancelled; 100]
    );
    assert_eq!(
        states_with(UpstreamState::Unknown),
        vec![DependencyState::Unknown; 100]
    );
    assert_eq!(
        states_with(UpstreamState::Open),
        vec![DependencyState::Waiting; 100]
    );
    let states = evaluate_pipeline(&jobs, UpstreamState::Done);
    let is_satisfied = |n: usize| states[&id(n)] == DependencyState::Satisfied;
    assert_eq!(
        (1..=100).filter(|n| is_satisfied(*n)).collect::<Vec<_>>(),
        [1]
    );
}

/// An unknown dependency must not count as done, and must not hide that another dependency is
/// cancelled.
#[test]
fn worst_dependency_state_takes_precedence() {
    let jobs = BTreeMap::from([(id(9), (0..3).map(id).collect())]);
    let state_with = |states: [UpstreamState; 3]| {
        let graph: DependencyGraph<'_> = jobs
            .iter()
            .map(|(id, dependencies): (_, &Vec<_>)| (id, dependencies.as_slice()))
            .collect();
        let state_of = |upstream: &JobId| {
            let position = (0..3).find(|n| id(*n) == *upstream);
            states[position.unwrap()]
        };
        evaluate(&graph, state_of)[0].1
    };
    use UpstreamState::*;
    assert_eq!(state_with([Done, Done, Done]), DependencyState::Satisfied);
    assert_eq!(state_with([Done, Open, Done]), DependencyState::Waiting);
    assert_eq!(state_with([Open, Unknown, Done]), DependencyState::Unknown);
    assert_eq!(
        state_with([Unknown, Cancelled, Open]),
        DependencyState::Cancelled
    );
}

#[test]
fn urgency_of_the_last_job_is_inherited_by_all_its_dependencies() {
    let jobs = pipeline();
    let graph: DependencyGraph<'_> = jobs
        .iter()
        .map(|(id, dependencies)| (id, dependencies.as_slice()))
        .collect();
    let order = evaluate(&graph, |_| UpstreamState::Open);
    let urgent = InheritedUrgency {
        priority: Priority::High,
        deadline: UnixTime::from_millis(1_000),
    };
    let relaxed = InheritedUrgency {
        priority: Priority::Low,
        deadline: UnixTime::from_millis(2_000),
    };
    let own_urgency = |job: &JobId| Some(if *job == id(100) { urgent } else { relaxed });
    let inherited = inherit_urgency(&graph, &order, own_urgency);
    assert_eq!(inherited.len(), 100);
    assert!(inherited.values().all(|urgency| *urgency == urgent));
}
