//! The scaling plan: which machines to rent, and which idle machines to keep.

use super::offers::{Catalog, MachineOffer};
use super::trial::TrialPlacement;
use crate::model::{Job, MachineId, MachineTypes};
use crate::placement::{MachineSnapshot, TasksByZone};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A job with tasks that wait for resources.
pub struct WaitingJob<'a> {
    /// Job to which the waiting tasks belong.
    pub job: &'a Job,
    /// Number of the job's tasks that wait.
    pub tasks: u32,
    /// Number of the job's placed tasks in each zone.
    pub placed_by_zone: TasksByZone,
}

/// Machines to rent, and machines not to return to the cloud.
#[derive(Debug, Default)]
pub struct ScalingPlan {
    /// Number of machines to rent of each offer.
    pub rentals: BTreeMap<MachineOffer, u64>,
    /// Machines that must not be returned even if they are idle, because waiting or expected jobs
    /// are planned on them.
    pub machines_to_keep: BTreeSet<MachineId>,
}

/// Plans which machines to rent, at most `max_rentals`, so that the waiting tasks fit. `snapshots`
/// are the machines that are up or expected to come up. Tasks are assigned to these machines first.
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

/// Simulates the placement of a job's waiting tasks. For a job that requires a single zone, all of
/// the tasks are tried in each zone, and the zone with the lowest price of new machines is chosen.
/// Returns `None` if the tasks fit in no zone.
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

/// Allocates a job's waiting tasks on existing machines if all of them fit, and returns whether
/// they did. For a job that requires a single zone, only the zone of the best machine is tried.
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
