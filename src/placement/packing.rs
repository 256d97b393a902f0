//! Bin packing: assigns the tasks of one job to machines.

use super::constraints::{TasksByZone, add_tasks};
use super::snapshot::{ImageReadiness, MachineSnapshot};
use crate::model::JobSpec;
use crate::wire::user::JobKind;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// A number of tasks of one job that are assigned to one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    /// Index of the machine in the snapshots that the caller passed in.
    pub machine_index: usize,
    /// Number of tasks assigned to the machine.
    pub tasks: u32,
}

/// Returns the total number of tasks in the assignments.
pub(crate) fn assigned_tasks(assignments: &[Assignment]) -> u32 {
    assignments.iter().map(|assignment| assignment.tasks).sum()
}

/// Rank of a machine for a job's tasks. The lowest rank is best. Fields are compared in the order
/// of their declaration.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// Whether the job could use a spot instance but the machine is on-demand. On-demand machines
    /// are left to jobs that may not use spot instances.
    avoidable_on_demand: bool,
    /// Availability of the job's image. Compared before fullness, because a fetch takes longer than
    /// many objectives allow, and concurrent fetches on one machine share its fetch rate.
    image_readiness: ImageReadiness,
    /// Whether a batch task would go to a machine with services, or a replica to a machine without.
    /// The two are kept apart, because otherwise services keep many machines half empty after the
    /// batch tasks have ended.
    mixes_services: bool,
    /// Use of the machine with one more task of the job, in thousandths. The fullest machine is
    /// best.
    used_permille: Reverse<u64>,
}

impl MachineRank {
    fn new(snapshot: &MachineSnapshot, spec: &JobSpec) -> Self {
        let used = snapshot.used() + spec.request;
        MachineRank {
            avoidable_on_demand: spec.allows_spot && !snapshot.spot,
            image_readiness: snapshot.image_readiness(&spec.image),
            mixes_services: snapshot.has_services() != (spec.kind == JobKind::Service),
            used_permille: Reverse(used.permille_of(snapshot.capacity)),
        }
    }
}

/// Assigns up to `tasks` tasks of a job to the machines of lowest [`MachineRank`], given the number
/// of the job's placed tasks in each zone. With `only_zone`, only machines in that zone are used.
/// Ties are broken by position.
///
/// All tasks of a job have the same request and image. A machine that is best for one task
/// therefore stays best for the next while it has room: it has become fuller, and its fetch of the
/// image has been planned. So each machine is ranked once for each job. Ranking it once for each
/// task is too slow with more than a thousand machines.
pub(crate) fn assign_tasks(
    spec: &JobSpec,
    placed_by_zone: &TasksByZone,
    snapshots: &[MachineSnapshot],
    tasks: u32,
    only_zone: Option<&Arc<str>>,
) -> Vec<Assignment> {
    let mut remaining = tasks;
    let mut assignments = Vec::new();
    if remaining == 0 {
        return assignments;
    }
    let mut ranked: BinaryHeap<_> = snapshots
        .iter()
        .enumerate()
        .filter(|(_, snapshot)| can_take_task(snapshot, spec, only_zone))
        .map(|(index, snapshot)| Reverse((MachineRank::new(snapshot, spec), index)))
        .collect();
    let mut placed = placed_by_zone.clone();
    while remaining > 0
        && let Some(Reverse((_, machine_index))) = ranked.pop()
    {
        let snapshot = &snapshots[machine_index];
        let tasks = snapshot.max_tasks(spec, &placed, remaining);
        if tasks > 0 {
            add_tasks(&mut placed, &snapshot.zone, tasks);
            remaining -= tasks;
            assignments.push(Assignment {
                machine_index,
                tasks,
            });
        }
    }
    assignments
}

/// Reports whether a machine can take a task of the job, without regard to the distribution of the
/// job's tasks over zones.
fn can_take_task(snapshot: &MachineSnapshot, spec: &JobSpec, only_zone: Option<&Arc<str>>) -> bool {
    spec.request.fits_in(snapshot.available)
        && only_zone.is_none_or(|zone| snapshot.zone == *zone)
        && snapshot.is_eligible_for(spec)
        && (spec.image_gb <= 0.0 || snapshot.has_image_before_new_machine_boots(&spec.image))
}
