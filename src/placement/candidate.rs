//! Candidates, which are jobs that may start tasks, and the order in which they are served.

use super::constraints::TasksByZone;
use crate::model::{Job, JobId, MachineId, Resources, UnixTime};
use crate::wire::user::{JobKind, Priority};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A job that may start tasks.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Id of the job.
    pub id: &'a JobId,
    /// The job with its specification and the state of its tasks.
    pub job: &'a Job,
    /// Whether the total request of the job and of its team's earlier open jobs fits in the team's
    /// guarantee.
    pub within_guarantee: bool,
    /// Whether the job has waited so long that it is served before all jobs that are not starving.
    /// Machines are reserved for a starving gang that does not fit.
    pub starving: bool,
    /// Number of the job's placed tasks in each zone.
    pub placed_by_zone: TasksByZone,
    /// Machines on which tasks are being stopped for the job, if it is a gang. The job is served
    /// before all others, and no others start tasks there.
    pub preempted_machines: Option<&'a BTreeSet<MachineId>>,
}

impl Candidate<'_> {
    /// Reports whether machines are reserved for the job if its tasks do not fit.
    pub(super) fn can_reserve_machines(&self) -> bool {
        self.starving && self.job.spec.kind == JobKind::Gang
    }

    fn service_rank(&self) -> ServiceRank {
        if self.preempted_machines.is_some() {
            ServiceRank::Preempting
        } else if self.starving {
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

/// Rank of a job in the order of service. The job with the highest rank is served first. Variants
/// and fields are compared in the order of their declaration.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceRank {
    /// Ranked by priority, then by whether the job is within its team's guarantee, then by
    /// deadline.
    Regular {
        priority: Priority,
        within_guarantee: bool,
        deadline: Reverse<UnixTime>,
    },
    /// Ranked above all regular jobs, by the time at which the job became ready, earliest first.
    /// Ranking these jobs by priority would let a lasting backlog of urgent jobs delay the others
    /// without bound.
    Starving { ready_at: Reverse<UnixTime> },
    /// Ranked above all others, for the few seconds in which the stopped tasks leave. Otherwise the
    /// tasks that were stopped for a gang could take back each machine as it becomes free.
    Preempting,
}

/// Sorts jobs into the order in which they are served. Ties are broken by id.
pub fn sort_by_service_order(candidates: &mut [Candidate<'_>]) {
    candidates.sort_by(|left, right| {
        right
            .service_rank()
            .cmp(&left.service_rank())
            .then_with(|| left.id.cmp(right.id))
    });
}

/// Returns the minimum of available resources that a machine needs to affect a round. No
/// candidate's task fits on a machine with less of any resource. If machines may be reserved for a
/// gang, the minimum is zero, because full machines can be reserved as well.
pub fn min_available(candidates: &[Candidate<'_>]) -> Resources {
    if candidates.iter().any(Candidate::can_reserve_machines) {
        return Resources::default();
    }
    min_request(candidates).unwrap_or_default()
}

/// Returns the smallest request of the candidates' tasks in each resource, or `None` if there are
/// no candidates.
pub(super) fn min_request(candidates: &[Candidate<'_>]) -> Option<Resources> {
    candidates
        .iter()
        .map(|candidate| candidate.job.spec.request)
        .reduce(Resources::component_min)
}

#[cfg(test)]
mod tests;
