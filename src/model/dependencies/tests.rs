use super::*;
use crate::model::UnixTime;
use crate::wire::user::Priority;

fn id(n: usize) -> JobId {
    JobId::from(&*format!("run-{n:03}"))
}

/// A pipeline of a hundred steps in a row, and one step that awaits all of them.
fn chain() -> BTreeMap<JobId, Vec<JobId>> {
    let mut jobs: BTreeMap<JobId, Vec<JobId>> =
        (1..100).map(|n| (id(n), vec![id(n - 1)])).collect();
    jobs.insert(id(100), (0..100).map(id).collect());
    jobs
}

fn evaluate_chain(
    jobs: &BTreeMap<JobId, Vec<JobId>>,
    first: UpstreamState,
) -> BTreeMap<JobId, DependencyState> {
    let graph: DependencyGraph<'_> = jobs.iter().map(|(id, on)| (id, on.as_slice())).collect();
    let order = evaluate(&graph, |_| first);
    order
        .into_iter()
        .map(|(id, state)| (id.clone(), state))
        .collect()
}

#[test]
fn the_state_of_the_first_dependency_decides_all_that_follow() {
    let jobs = chain();
    let all = |first| {
        evaluate_chain(&jobs, first)
            .into_values()
            .collect::<Vec<_>>()
    };
    assert_eq!(
        all(UpstreamState::Cancelled),
        vec![DependencyState::Cancelled; 100]
    );
    assert_eq!(
        all(UpstreamState::Unknown),
        vec![DependencyState::Unknown; 100]
    );
    assert_eq!(
        all(UpstreamState::Open),
        vec![DependencyState::Waiting; 100]
    );
    let done = evaluate_chain(&jobs, UpstreamState::Done);
    let ready = |n: usize| done[&id(n)] == DependencyState::Satisfied;
    assert_eq!((1..=100).filter(|n| ready(*n)).collect::<Vec<_>>(), [1]);
}

/// What is not known must not count as done, nor hide that something else is cancelled.
#[test]
fn the_worst_state_of_a_jobs_dependencies_decides() {
    let jobs = BTreeMap::from([(id(9), (0..3).map(id).collect())]);
    let state_with = |states: [UpstreamState; 3]| {
        let graph: DependencyGraph<'_> = jobs
            .iter()
            .map(|(id, on): (_, &Vec<_>)| (id, on.as_slice()))
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
fn the_last_jobs_urgency_is_inherited_by_all_before_it() {
    let jobs = chain();
    let graph: DependencyGraph<'_> = jobs.iter().map(|(id, on)| (id, on.as_slice())).collect();
    let order = evaluate(&graph, |_| UpstreamState::Open);
    let urgent = InheritedUrgency {
        priority: Priority::High,
        deadline: UnixTime::from_millis(1_000),
    };
    let relaxed = InheritedUrgency {
        priority: Priority::Low,
        deadline: UnixTime::from_millis(2_000),
    };
    let own = |job: &JobId| Some(if *job == id(100) { urgent } else { relaxed });
    let inherited = inherit_urgency(&graph, &order, own);
    assert_eq!(inherited.len(), 100);
    assert!(inherited.values().all(|urgency| *urgency == urgent));
}
