//! Jobs that wait for others: which may start, and which are cancelled with one that they need.
//! Pure: a function of the waiting jobs and of what is known of those that they name.

use super::{InheritedUrgency, JobId};
use std::collections::BTreeMap;

/// How a waiting job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Something that it needs is not done yet.
    Waiting,
    /// All that it needs is done.
    Satisfied,
    /// Something that it needs, directly or through others, is cancelled, and so is it.
    Cancelled,
    /// It can't be told: of something that it needs nothing is known.
    Unknown,
}

/// What is known of a job that does not wait itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    Open,
    Done,
    Cancelled,
    Unknown,
}

/// The waiting jobs with what each awaits.
pub type DependencyGraph<'a> = BTreeMap<&'a JobId, &'a [JobId]>;

/// The waiting jobs in an order in which each comes after those that it awaits, with how it stands.
/// Jobs that wait for each other in a circle, which no submission can make, are left out.
pub fn evaluate<'a>(
    waiting: &DependencyGraph<'a>,
    known: impl Fn(&JobId) -> UpstreamState,
) -> Vec<(&'a JobId, DependencyState)> {
    let mut missing: BTreeMap<&JobId, usize> = BTreeMap::new();
    let mut needed_by: BTreeMap<&JobId, Vec<&'a JobId>> = BTreeMap::new();
    let mut next = Vec::new();
    for (id, awaits) in waiting {
        let steps = awaits.iter().filter(|a| waiting.contains_key(a));
        let count = steps.map(|a| needed_by.entry(a).or_default().push(id));
        match count.count() {
            0 => next.push(*id),
            count => {
                missing.insert(id, count);
            }
        }
    }
    let mut order = Vec::new();
    let mut states: BTreeMap<&JobId, DependencyState> = BTreeMap::new();
    while let Some(id) = next.pop() {
        let awaited = waiting[id].iter().map(|a| match states.get(a) {
            Some(DependencyState::Cancelled) => UpstreamState::Cancelled,
            Some(DependencyState::Unknown) => UpstreamState::Unknown,
            Some(_) => UpstreamState::Open,
            None => known(a),
        });
        let state = awaited.fold(DependencyState::Satisfied, after);
        states.insert(id, state);
        order.push((id, state));
        for later in needed_by.remove(id).into_iter().flatten() {
            if let Some(count) = missing.get_mut(later) {
                *count -= 1;
                if *count == 0 {
                    next.push(later);
                }
            }
        }
    }
    order
}

/// How a job stands that stood so before one more that it awaits was looked at.
fn after(state: DependencyState, awaited: UpstreamState) -> DependencyState {
    match (state, awaited) {
        (DependencyState::Cancelled, _) | (_, UpstreamState::Cancelled) => {
            DependencyState::Cancelled
        }
        (DependencyState::Unknown, _) | (_, UpstreamState::Unknown) => DependencyState::Unknown,
        (DependencyState::Waiting, _) | (_, UpstreamState::Open) => DependencyState::Waiting,
        (DependencyState::Satisfied, UpstreamState::Done) => DependencyState::Satisfied,
    }
}

/// The urgency that each job inherits from the waiting jobs that depend on it, directly or through
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
        for upstream in graph[*id] {
            let urgency = inherited
                .get(upstream)
                .map_or(passed_on, |from| passed_on.most_urgent(*from));
            inherited.insert(upstream.clone(), urgency);
        }
    }
    inherited
}

#[cfg(test)]
mod tests;
