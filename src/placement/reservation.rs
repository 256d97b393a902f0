//! Reservation of machines for a starving gang.
//!
//! Without it, smaller jobs take each machine as it becomes free, and a gang that needs many whole
//! machines never starts.

use super::gang::zones;
use super::snapshot::MachineSnapshot;
use crate::constants::MAX_TASKS_PER_MACHINE;
use crate::model::{JobSpec, Resources};
use std::sync::Arc;

/// Machines that would hold a whole gang once their present work has ended.
struct Reservation {
    /// Work that has to end, in thousandths of a machine.
    permille_to_free: u64,
    /// Indices of the machines in the snapshots.
    machine_indices: Vec<usize>,
}

/// A machine that could take tasks of the gang.
struct ReservableMachine {
    index: usize,
    /// Work on it that has to end, in thousandths of the machine.
    permille_to_free: u64,
    /// Tasks of the gang that it then holds.
    tasks: u32,
}

/// Reserves the machines that are nearest to having room for the whole gang, in one zone if it asks
/// for that: no job after it in the order of service starts tasks on them in this round.
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

/// The machines, those with the least work to end first, that together hold the gang; `None` if all
/// of them do not.
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
    let mut reservation = Reservation {
        permille_to_free: 0,
        machine_indices: Vec::new(),
    };
    for machine in machines {
        if unassigned_tasks == 0 {
            break;
        }
        unassigned_tasks = unassigned_tasks.saturating_sub(machine.tasks);
        reservation.permille_to_free += machine.permille_to_free;
        reservation.machine_indices.push(machine.index);
    }
    (unassigned_tasks == 0).then_some(reservation)
}

/// The machine, if it could take a task of the gang once all work on it but services has ended.
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
