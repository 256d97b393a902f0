//! Bin packing: which machines take the tasks of one job.

use super::constraints::{TasksByZone, add_tasks};
use super::snapshot::{ImageReadiness, MachineSnapshot};
use crate::model::JobSpec;
use crate::wire::user::JobKind;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Tasks of one job that go to one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    /// Index of the machine in the snapshots that were passed in.
    pub machine_index: usize,
    /// Number of tasks.
    pub tasks: u32,
}

/// Number of tasks in all assignments.
pub(crate) fn assigned_tasks(assignments: &[Assignment]) -> u32 {
    assignments.iter().map(|assignment| assignment.tasks).sum()
}

/// Rank of a machine for a job's tasks; the lowest is best. The order of fields is the order of
/// comparison.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// On-demand machines are left to jobs that may use no others.
    avoidable_on_demand: bool,
    /// Before fullness, since a fetch takes longer than many objectives allow and fetches on one
    /// machine share its rate.
    image_readiness: ImageReadiness,
    /// Services are kept apart from work that ends, or they hold many machines half empty once that
    /// work has ended.
    mixes_services: bool,
    /// Use of the machine with one more task, in thousandths; the fullest is best.
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

/// Assigns up to `tasks` tasks of a job, given its placed tasks by zone, to the machines of lowest
/// [`MachineRank`]. With `only_zone`, to machines of that zone alone. Ties are broken by position.
///
/// The tasks are alike, and a machine that is best for one is best for the next while it has room:
/// it is fuller, and the image is on its way. So each machine is ranked once a job, not once a
/// task, which is too slow with more than a thousand machines.
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

/// Whether a task may go to a machine, apart from the distribution over zones.
fn can_take_task(snapshot: &MachineSnapshot, spec: &JobSpec, only_zone: Option<&Arc<str>>) -> bool {
    spec.request.fits_in(snapshot.available)
        && only_zone.is_none_or(|zone| snapshot.zone == *zone)
        && snapshot.is_eligible_for(spec)
        && (spec.image_gb <= 0.0 || snapshot.has_image_before_new_machine_boots(&spec.image))
}
