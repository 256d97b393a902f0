//! Reservation of machines for a starving gang.
//!
//! Without a reservation, smaller jobs take each machine as it becomes free, and a gang that needs
//! many whole machines never starts.

use super::constraints::{TasksByZone, add_tasks, zone_headroom};
use super::gang::zones;
use super::snapshot::MachineSnapshot;
use crate::constants::MAX_TASKS_PER_MACHINE;
use crate::model::{JobSpec, MachineId, Resources};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Machines on which a whole gang fits once their current batch tasks have ended.
struct Reservation {
    /// Sum of the parts of the machines that batch tasks have to free, in thousandths of a machine.
    permille_to_free: u64,
    /// Indices of the machines in the snapshots.
    machine_indices: Vec<usize>,
}

/// A machine that can take tasks of the gang once its batch tasks have ended.
struct ReservableMachine {
    /// Index of the machine in the snapshots.
    index: usize,
    /// Part of the machine that batch tasks have to free, in thousandths.
    permille_to_free: u64,
    /// Number of tasks of the gang that then fit on the machine.
    tasks: u32,
}

/// Reserves the machines on which the least has to be freed for the whole gang to fit, within one
/// zone if the gang requires a single zone. Jobs after the gang in the order of service start no
/// tasks on reserved machines in this round. Reserves nothing if the machines cannot hold the gang.
pub(super) fn reserve_for_gang(spec: &JobSpec, snapshots: &mut [MachineSnapshot]) {
    let reservation = if spec.single_zone {
        zones(snapshots)
            .into_iter()
            .filter_map(|zone| find_reservation(spec, snapshots, Some(zone)))
            .min_by_key(|reservation| reservation.permille_to_free)
    } else {
        find_reservation(spec, snapshots, None)
    };
    let reserved_indices = reservation
        .into_iter()
        .flat_map(|reservation| reservation.machine_indices);
    for index in reserved_indices {
        snapshots[index].available = Resources::default();
    }
}

/// Reserves these machines: jobs that are served later start no tasks there in this round.
pub(super) fn reserve(machines: &BTreeSet<MachineId>, snapshots: &mut [MachineSnapshot]) {
    for snapshot in snapshots {
        if machines.contains(&snapshot.id) {
            snapshot.available = Resources::default();
        }
    }
}

/// Returns machines that together can hold the gang, choosing those first on which the least has to
/// be freed. Returns `None` if all machines together cannot hold the gang.
fn find_reservation(
    spec: &JobSpec,
    snapshots: &[MachineSnapshot],
    only_zone: Option<&Arc<str>>,
) -> Option<Reservation> {
    let mut machines: Vec<ReservableMachine> = snapshots
        .iter()
        .enumerate()
        .filter(|(_, snapshot)| only_zone.is_none_or(|zone| snapshot.zone == *zone))
        .filter_map(|(index, snapshot)| reservable_machine(spec, index, snapshot))
        .collect();
    machines.sort_by_key(|machine| (machine.permille_to_free, machine.index));
    let mut unassigned_tasks = spec.tasks;
    let mut assigned_by_zone = TasksByZone::new();
    let mut reservation = Reservation {
        permille_to_free: 0,
        machine_indices: Vec::new(),
    };
    for machine in machines {
        if unassigned_tasks == 0 {
            break;
        }
        let zone = &snapshots[machine.index].zone;
        let headroom = zone_headroom(spec, &assigned_by_zone, zone);
        let tasks = machine.tasks.min(headroom).min(unassigned_tasks);
        if tasks == 0 {
            continue;
        }
        add_tasks(&mut assigned_by_zone, zone, tasks);
        unassigned_tasks -= tasks;
        reservation.permille_to_free += machine.permille_to_free;
        reservation.machine_indices.push(machine.index);
    }
    (unassigned_tasks == 0).then_some(reservation)
}

/// Returns the machine if it can take a task of the gang once all tasks on it except services have
/// ended.
fn reservable_machine(
    spec: &JobSpec,
    index: usize,
    snapshot: &MachineSnapshot,
) -> Option<ReservableMachine> {
    let reservable_resources = snapshot.capacity_without_services();
    if !snapshot.is_eligible_for(spec) || !spec.request.fits_in(reservable_resources) {
        return None;
    }
    let to_free = reservable_resources - snapshot.available;
    Some(ReservableMachine {
        index,
        permille_to_free: to_free.permille_of(snapshot.capacity),
        tasks: reservable_resources
            .max_multiple(spec.request)
            .min(MAX_TASKS_PER_MACHINE),
    })
}

#[cfg(test)]
mod tests;
