//! Jobs that may start tasks, and the order in which they are served.

use super::constraints::TasksByZone;
use crate::model::{Job, JobId, Resources, UnixTime};
use crate::wire::user::{JobKind, Priority};
use std::cmp::Reverse;

/// A job that may start tasks.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// The job's id.
    pub id: &'a JobId,
    /// The job.
    pub job: &'a Job,
    /// Whether it fits into its team's guarantee together with the team's earlier open jobs.
    pub within_guarantee: bool,
    /// Whether it has waited so long that it is served first; for a gang, machines are reserved.
    pub starving: bool,
    /// Its placed tasks by zone.
    pub placed_by_zone: TasksByZone,
}

impl Candidate<'_> {
    /// Whether machines are reserved for it while it finds no room.
    pub(super) fn can_reserve_machines(&self) -> bool {
        self.starving && self.job.spec.kind == JobKind::Gang
    }

    fn service_rank(&self) -> ServiceRank {
        if self.starving {
            ServiceRank::Starving {
                ready_at: Reverse(self.job.ready_at),
            }
        } else {
            ServiceRank::Regular {
                priority: self.job.priority(),
                within_guarantee: self.within_guarantee,
                deadline: Reverse(self.job.deadline()),
            }
        }
    }
}

/// Rank of a job in the order of service; the highest is served first. The order of variants and
/// fields is the order of comparison.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceRank {
    /// By priority, then guarantee, then deadline.
    Regular {
        priority: Priority,
        within_guarantee: bool,
        deadline: Reverse<UnixTime>,
    },
    /// Before all others, in the order in which they could have begun: by priority, a lasting
    /// backlog of urgent work would keep the rest waiting for ever.
    Starving { ready_at: Reverse<UnixTime> },
}

/// Sorts jobs into the order in which they are served; ties are broken by id.
pub fn sort_by_service_order(candidates: &mut [Candidate<'_>]) {
    candidates.sort_by(|left, right| {
        right
            .service_rank()
            .cmp(&left.service_rank())
            .then_with(|| left.id.cmp(right.id))
    });
}

/// The least available resources of a machine that can matter to a round. A machine with less fits
/// no candidate's task; but if machines are reserved for a gang, full ones count as well.
pub fn min_available(candidates: &[Candidate<'_>]) -> Resources {
    if candidates.iter().any(Candidate::can_reserve_machines) {
        return Resources::default();
    }
    min_request(candidates).unwrap_or_default()
}

/// The smallest request of the candidates in each resource; `None` without candidates.
pub(super) fn min_request(candidates: &[Candidate<'_>]) -> Option<Resources> {
    candidates
        .iter()
        .map(|candidate| candidate.job.spec.request)
        .reduce(Resources::component_min)
}

#[cfg(test)]
mod tests;
