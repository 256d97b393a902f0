//! Evaluates the dependency graph (a DAG) of jobs: which blocked jobs may start, and which are
//! cancelled together with a job that they depend on.
//!
//! The functions are pure: their results depend only on the blocked jobs and on the known states of
//! the jobs that these depend on.

use super::{InheritedUrgency, JobId};
use std::collections::BTreeMap;

/// Combined state of a blocked job's dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// At least one dependency is not done yet.
    Waiting,
    /// All dependencies are done.
    Satisfied,
    /// A direct or transitive dependency is cancelled, so the job is cancelled too.
    Cancelled,
    /// The state of a dependency is not known.
    Unknown,
}

/// State of a job that blocked jobs depend on and that is not itself blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// The job runs or waits for resources.
    Open,
    /// All tasks have completed, and this is recorded durably.
    Done,
    /// The job is cancelled, and this is recorded durably.
    Cancelled,
    /// The state of the job is not known.
    Unknown,
}

/// The blocked jobs, each with the jobs that it directly depends on.
pub type DependencyGraph<'a> = BTreeMap<&'a JobId, &'a [JobId]>;

/// Returns the blocked jobs in topological order (each job after the jobs that it depends on),
/// each with the combined state of its dependencies.
///
/// `upstream_state` returns the state of a job that is not blocked. Jobs in a dependency cycle are
/// left out; no sequence of submissions can create a cycle.
pub fn evaluate<'a>(
    graph: &DependencyGraph<'a>,
    upstream_state: impl Fn(&JobId) -> UpstreamState,
) -> Vec<(&'a JobId, DependencyState)> {
    let mut remaining = RemainingDependencies::new(graph);
    let mut order = Vec::new();
    let mut states: BTreeMap<&JobId, DependencyState> = BTreeMap::new();
    while let Some(id) = remaining.next_job() {
        let dependencies = graph[id]
            .iter()
            .map(|dependency| match states.get(dependency) {
                Some(DependencyState::Cancelled) => UpstreamState::Cancelled,
                Some(DependencyState::Unknown) => UpstreamState::Unknown,
                Some(_) => UpstreamState::Open,
                None => upstream_state(dependency),
            });
        let state = dependencies.fold(DependencyState::Satisfied, combine_states);
        states.insert(id, state);
        order.push((id, state));
        remaining.release_dependents(id);
    }
    order
}

/// Working state of the topological sort (Kahn's algorithm).
struct RemainingDependencies<'a> {
    /// For each job that has blocked dependencies, the number of them that are unvisited.
    counts: BTreeMap<&'a JobId, usize>,
    /// For each blocked job, the blocked jobs that depend on it.
    dependents: BTreeMap<&'a JobId, Vec<&'a JobId>>,
    /// Unvisited jobs whose blocked dependencies have all been visited.
    ready: Vec<&'a JobId>,
}

impl<'a> RemainingDependencies<'a> {
    fn new(graph: &DependencyGraph<'a>) -> Self {
        let mut remaining = RemainingDependencies {
            counts: BTreeMap::new(),
            dependents: BTreeMap::new(),
            ready: Vec::new(),
        };
        for (id, dependencies) in graph {
            let blocked = dependencies.iter().filter(|id| graph.contains_key(id));
            let mut count = 0;
            for dependency in blocked {
                remaining.dependents.entry(dependency).or_default().push(id);
                count += 1;
            }
            if count == 0 {
                remaining.ready.push(id);
            } else {
                remaining.counts.insert(id, count);
            }
        }
        remaining
    }

    /// Removes and returns a job that is ready to be visited; `None` if there is none.
    fn next_job(&mut self) -> Option<&'a JobId> {
        self.ready.pop()
    }

    /// Marks a job as visited, and makes the dependents that have no other unvisited dependency
    /// ready to be visited.
    fn release_dependents(&mut self, id: &JobId) {
        for dependent in self.dependents.remove(id).into_iter().flatten() {
            if let Some(count) = self.counts.get_mut(dependent) {
                *count -= 1;
                if *count == 0 {
                    self.ready.push(dependent);
                }
            }
        }
    }
}

/// Returns the combined state of a job's dependencies after one more dependency is taken into
/// account.
fn combine_states(combined: DependencyState, dependency: UpstreamState) -> DependencyState {
    match (combined, dependency) {
        (DependencyState::Cancelled, _) | (_, UpstreamState::Cancelled) => {
            DependencyState::Cancelled
        }
        (DependencyState::Unknown, _) | (_, UpstreamState::Unknown) => DependencyState::Unknown,
        (DependencyState::Waiting, _) | (_, UpstreamState::Open) => DependencyState::Waiting,
        (DependencyState::Satisfied, UpstreamState::Done) => DependencyState::Satisfied,
    }
}

/// Returns the urgency that each job inherits from the blocked jobs that depend on it, directly or
/// transitively.
///
/// `order` is the result of [`evaluate`] for the same graph. Cancelled jobs pass on no urgency.
pub fn inherit_urgency(
    graph: &DependencyGraph<'_>,
    order: &[(&JobId, DependencyState)],
    own_urgency: impl Fn(&JobId) -> Option<InheritedUrgency>,
) -> BTreeMap<JobId, InheritedUrgency> {
    let mut inherited: BTreeMap<JobId, InheritedUrgency> = BTreeMap::new();
    for (id, state) in order.iter().rev() {
        let own = own_urgency(id).filter(|_| *state != DependencyState::Cancelled);
        let Some(own) = own else {
            continue;
        };
        let inheritable = inherited
            .get(*id)
            .map_or(own, |urgency| own.most_urgent(*urgency));
        for dependency in graph[*id] {
            let urgency = inherited
                .get(dependency)
                .map_or(inheritable, |present| inheritable.most_urgent(*present));
            inherited.insert(dependency.clone(), urgency);
        }
    }
    inherited
}

#[cfg(test)]
mod tests;
