//! Dependencies between jobs (a DAG): which blocked jobs may start, and which are cancelled with a
//! job that they depend on.
//!
//! Pure: a function of the blocked jobs and of what is known of the jobs that they depend on.

use super::{InheritedUrgency, JobId};
use std::collections::BTreeMap;

/// State of a blocked job's dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// A dependency is not done yet.
    Waiting,
    /// All dependencies are done.
    Satisfied,
    /// A dependency, direct or through others, is cancelled, and the job with it.
    Cancelled,
    /// Nothing is known of a dependency.
    Unknown,
}

/// State of a job that others depend on and that is not blocked itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Runs or waits for resources.
    Open,
    /// All tasks have completed, durably.
    Done,
    /// Cancelled, durably.
    Cancelled,
    /// Nothing is known of it.
    Unknown,
}

/// The blocked jobs with their dependencies.
pub type DependencyGraph<'a> = BTreeMap<&'a JobId, &'a [JobId]>;

/// The blocked jobs in topological order (each after those that it depends on), each with the
/// state of its dependencies. Jobs in a cycle, which no submission can make, are left out.
/// `upstream` tells the state of jobs that are not blocked.
pub fn evaluate<'a>(
    graph: &DependencyGraph<'a>,
    upstream: impl Fn(&JobId) -> UpstreamState,
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
                None => upstream(dependency),
            });
        let state = dependencies.fold(DependencyState::Satisfied, combine);
        states.insert(id, state);
        order.push((id, state));
        remaining.release_dependents(id);
    }
    order
}

/// Bookkeeping of a topological sort.
struct RemainingDependencies<'a> {
    /// Number of blocked dependencies that have not been visited, of each job that has any.
    counts: BTreeMap<&'a JobId, usize>,
    /// Blocked jobs by the blocked jobs that they depend on.
    dependents: BTreeMap<&'a JobId, Vec<&'a JobId>>,
    /// Jobs whose dependencies have all been visited.
    next: Vec<&'a JobId>,
}

impl<'a> RemainingDependencies<'a> {
    fn new(graph: &DependencyGraph<'a>) -> Self {
        let mut remaining = RemainingDependencies {
            counts: BTreeMap::new(),
            dependents: BTreeMap::new(),
            next: Vec::new(),
        };
        for (id, dependencies) in graph {
            let blocked = dependencies.iter().filter(|id| graph.contains_key(id));
            let mut count = 0;
            for dependency in blocked {
                remaining.dependents.entry(dependency).or_default().push(id);
                count += 1;
            }
            if count == 0 {
                remaining.next.push(id);
            } else {
                remaining.counts.insert(id, count);
            }
        }
        remaining
    }

    fn next_job(&mut self) -> Option<&'a JobId> {
        self.next.pop()
    }

    /// The job has been visited: those that waited for it alone come next.
    fn release_dependents(&mut self, id: &JobId) {
        for dependent in self.dependents.remove(id).into_iter().flatten() {
            if let Some(count) = self.counts.get_mut(dependent) {
                *count -= 1;
                if *count == 0 {
                    self.next.push(dependent);
                }
            }
        }
    }
}

/// The state of a job's dependencies once one more of them is taken into account.
fn combine(state: DependencyState, dependency: UpstreamState) -> DependencyState {
    match (state, dependency) {
        (DependencyState::Cancelled, _) | (_, UpstreamState::Cancelled) => {
            DependencyState::Cancelled
        }
        (DependencyState::Unknown, _) | (_, UpstreamState::Unknown) => DependencyState::Unknown,
        (DependencyState::Waiting, _) | (_, UpstreamState::Open) => DependencyState::Waiting,
        (DependencyState::Satisfied, UpstreamState::Done) => DependencyState::Satisfied,
    }
}

/// The urgency that each job inherits from the blocked jobs that depend on it, directly or through
/// others. `order` is that of [`evaluate`].
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
        let passed_on = inherited
            .get(*id)
            .map_or(own, |from| own.most_urgent(*from));
        for dependency in graph[*id] {
            let urgency = inherited
                .get(dependency)
                .map_or(passed_on, |from| passed_on.most_urgent(*from));
            inherited.insert(dependency.clone(), urgency);
        }
    }
    inherited
}

#[cfg(test)]
mod tests;
