//! Placement of gangs: either all tasks of a gang are placed, or none.

use super::constraints::TasksByZone;
use super::packing::{Assignment, assign_tasks, assigned_tasks};
use super::snapshot::MachineSnapshot;
use crate::model::JobSpec;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Returns the zones that have machines, ordered by name.
pub(super) fn zones(snapshots: &[MachineSnapshot]) -> BTreeSet<&Arc<str>> {
    snapshots.iter().map(|snapshot| &snapshot.zone).collect()
}

/// Assigns all tasks of a gang to machines, within one zone if the job requires a single zone. If
/// the gang fits in several zones, the zone where the assigned machines are fullest is chosen.
/// Returns `None` if the tasks do not fit.
pub(super) fn assign_gang(
    spec: &JobSpec,
    snapshots: &[MachineSnapshot],
) -> Option<Vec<Assignment>> {
    if !spec.single_zone {
        return assign_whole_gang(spec, snapshots, None);
    }
    zones(snapshots)
        .into_iter()
        .filter_map(|zone| assign_whole_gang(spec, snapshots, Some(zone)))
        .min_by_key(|assignments| total_idle_permille(assignments, snapshots))
}

/// Assigns all tasks of a gang, or returns `None` if they do not fit. With `only_zone`, only
/// machines in that zone are used.
fn assign_whole_gang(
    spec: &JobSpec,
    snapshots: &[MachineSnapshot],
    only_zone: Option<&Arc<str>>,
) -> Option<Vec<Assignment>> {
    let none_placed = TasksByZone::new();
    let assignments = assign_tasks(spec, &none_placed, snapshots, spec.tasks, only_zone);
    (assigned_tasks(&assignments) == spec.tasks).then_some(assignments)
}

/// Returns the sum of the idle parts of the assigned machines, in thousandths of a machine. A
/// machine counts once for each task assigned to it.
fn total_idle_permille(assignments: &[Assignment], snapshots: &[MachineSnapshot]) -> u64 {
    let idle_permille = |assignment: &Assignment| {
        snapshots[assignment.machine_index].idle_permille() * u64::from(assignment.tasks)
    };
    assignments.iter().map(idle_permille).sum()
}
