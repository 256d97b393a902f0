//! Placement of gangs: all tasks of a job or none.

use super::constraints::TasksByZone;
use super::packing::{Assignment, assign_tasks, assigned_tasks};
use super::snapshot::MachineSnapshot;
use crate::model::JobSpec;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Zones that have machines, in the order of their names.
pub(super) fn zones(snapshots: &[MachineSnapshot]) -> BTreeSet<&Arc<str>> {
    snapshots.iter().map(|snapshot| &snapshot.zone).collect()
}

/// Assigns all tasks of a gang, in one zone if it asks for that; `None` if they do not fit. Of
/// several zones, the one whose machines are fullest is taken.
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

fn assign_whole_gang(
    spec: &JobSpec,
    snapshots: &[MachineSnapshot],
    only_zone: Option<&Arc<str>>,
) -> Option<Vec<Assignment>> {
    let none_placed = TasksByZone::new();
    let assignments = assign_tasks(spec, &none_placed, snapshots, spec.tasks, only_zone);
    (assigned_tasks(&assignments) == spec.tasks).then_some(assignments)
}

/// How idle the assigned machines are, in thousandths of a machine, counted once for each task.
fn total_idle_permille(assignments: &[Assignment], snapshots: &[MachineSnapshot]) -> u64 {
    let idle_permille = |assignment: &Assignment| {
        snapshots[assignment.machine_index].idle_permille() * u64::from(assignment.tasks)
    };
    assignments.iter().map(idle_permille).sum()
}
