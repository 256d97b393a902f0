//! The scaling plan: machines to rent, and idle machines to keep.

use super::offers::{Catalog, MachineOffer};
use super::trial::TrialPlacement;
use crate::model::{Job, MachineId, MachineTypes};
use crate::placement::{MachineSnapshot, TasksByZone};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A job with tasks that wait for room.
pub struct WaitingJob<'a> {
    /// The job.
    pub job: &'a Job,
    /// Number of its tasks that wait.
    pub tasks: u32,
    /// Its placed tasks by zone.
    pub placed_by_zone: TasksByZone,
}

/// What should be rented, and what should not be returned.
#[derive(Debug, Default)]
pub struct ScalingPlan {
    /// Number of machines to rent of each offer.
    pub rentals: BTreeMap<MachineOffer, u64>,
    /// Machines that are kept although they may be idle.
    pub machines_to_keep: BTreeSet<MachineId>,
}

/// Plans the machines to rent, at most `max_rentals`, so that the waiting tasks find room, given
/// the room on machines that are up or expected.
pub fn scaling_plan(
    waiting: &[WaitingJob<'_>],
    mut snapshots: Vec<MachineSnapshot>,
    types: &MachineTypes,
    offers: &[MachineOffer],
    max_rentals: u64,
) -> ScalingPlan {
    let catalog = Catalog { types, offers };
    let existing_machine_count = snapshots.len();
    let mut plan = ScalingPlan::default();
    for job in waiting {
        let Some(trial) = trial_placement(job, &snapshots, catalog) else {
            continue;
        };
        let kept_machines = trial
            .used_machine_indices()
            .filter(|machine_index| *machine_index < existing_machine_count)
            .map(|machine_index| snapshots[machine_index].id.clone());
        plan.machines_to_keep.extend(kept_machines);
        trial.allocate(job, &mut snapshots);
    }
    let new_machines = snapshots.into_iter().skip(existing_machine_count);
    for snapshot in new_machines.take(max_rentals as usize) {
        let offer = MachineOffer {
            machine_type: snapshot.machine_type,
            zone: snapshot.zone,
            spot: snapshot.spot,
        };
        *plan.rentals.entry(offer).or_insert(0) += 1;
    }
    plan
}

/// Places a job's waiting tasks. For a job that needs one zone, each zone is tried for all of them,
/// and the one with the cheapest new machines is taken; `None` if no zone fits.
fn trial_placement(
    waiting: &WaitingJob<'_>,
    snapshots: &[MachineSnapshot],
    catalog: Catalog<'_>,
) -> Option<TrialPlacement> {
    if !waiting.job.spec.single_zone {
        return Some(TrialPlacement::new(waiting, snapshots, catalog, None));
    }
    let zones: BTreeSet<&Arc<str>> = snapshots
        .iter()
        .map(|snapshot| &snapshot.zone)
        .chain(catalog.offers.iter().map(|offer| &offer.zone))
        .collect();
    zones
        .into_iter()
        .map(|zone| TrialPlacement::new(waiting, snapshots, catalog, Some(zone)))
        .filter(|trial| trial.is_complete(waiting))
        .min_by(|left, right| left.price(catalog).total_cmp(&right.price(catalog)))
}

/// Allocates a job's waiting tasks on the machines that are there, if all of them find room, and
/// returns whether they did. For a job that needs one zone, only the zone of the best machine is tried.
pub fn try_allocate(waiting: &WaitingJob<'_>, snapshots: &mut Vec<MachineSnapshot>) -> bool {
    let empty_catalog = Catalog {
        types: &MachineTypes::new(),
        offers: &[],
    };
    let trial = TrialPlacement::new(waiting, snapshots, empty_catalog, None);
    let is_complete = trial.is_complete(waiting);
    if is_complete {
        trial.allocate(waiting, snapshots);
    }
    is_complete
}
