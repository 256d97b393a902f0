//! Consolidation: chooses a machine to drain because other machines can take the replicas on it.
//!
//! Services run longer than the batch tasks placed beside them, so machines end up half empty. A
//! replica that moves is down until it has started again, so it moves only to a machine that has
//! its image in its cache.

use super::MachineSnapshot;
use crate::constants::MAX_DRAINED_USE_PERMILLE;
use crate::model::{JobSpec, MachineId, Resources};
use std::collections::BTreeMap;

/// A machine whose only tasks are service replicas that may be stopped.
#[derive(Debug)]
pub struct Drainable<'a> {
    /// Id of the machine.
    pub machine: MachineId,
    /// Specification of the job of each replica on the machine.
    pub replicas: Vec<&'a JobSpec>,
}

/// A machine whose use is low enough for it to be drained.
struct Source<'a> {
    used_permille: u64,
    drainable: &'a Drainable<'a>,
    snapshot: &'a MachineSnapshot,
}

/// Chooses the least used candidate whose replicas all fit on other machines of its zone. Returns
/// `None` if there is no such candidate. Ties are broken by id.
pub fn choose_machine_to_drain(
    candidates: &[Drainable<'_>],
    snapshots: &[MachineSnapshot],
) -> Option<MachineId> {
    let sources = drain_sources(candidates, snapshots);
    let targets = replica_targets(&sources, snapshots);
    sources
        .into_iter()
        .find(|source| can_move_all_replicas(source, &targets))
        .map(|source| source.drainable.machine.clone())
}

/// Returns the candidates used by at most [`MAX_DRAINED_USE_PERMILLE`], least used first.
fn drain_sources<'a>(
    candidates: &'a [Drainable<'_>],
    snapshots: &'a [MachineSnapshot],
) -> Vec<Source<'a>> {
    let snapshots_by_id: BTreeMap<&MachineId, &MachineSnapshot> = snapshots
        .iter()
        .map(|snapshot| (&snapshot.id, snapshot))
        .collect();
    let mut sources: Vec<Source<'_>> = candidates
        .iter()
        .filter_map(|drainable| {
            let snapshot = *snapshots_by_id.get(&drainable.machine)?;
            Some(Source {
                used_permille: snapshot.used_permille(),
                drainable,
                snapshot,
            })
        })
        .filter(|source| source.used_permille <= MAX_DRAINED_USE_PERMILLE)
        .collect();
    sources.sort_by_key(|source| (source.used_permille, &source.drainable.machine));
    sources
}

/// Returns the machines that hold services and have room for the smallest request of the replicas.
/// In a busy cluster, these are few.
fn replica_targets<'a>(
    sources: &[Source<'_>],
    snapshots: &'a [MachineSnapshot],
) -> Vec<&'a MachineSnapshot> {
    let replicas = sources.iter().flat_map(|source| &source.drainable.replicas);
    let requests = replicas.map(|spec| spec.request);
    let Some(min_request) = requests.reduce(Resources::component_min) else {
        return Vec::new();
    };
    snapshots
        .iter()
        .filter(|snapshot| snapshot.has_services())
        .filter(|snapshot| min_request.fits_in(snapshot.available))
        .collect()
}

/// Reports whether every replica on `source` fits on a target that is at least as full as `source`
/// and has the replica's image. Targets must be in the zone of `source`, so that the distribution
/// of each service over zones does not change.
fn can_move_all_replicas(source: &Source<'_>, targets: &[&MachineSnapshot]) -> bool {
    let is_allowed_target = |target: &MachineSnapshot| {
        target.id != source.snapshot.id
            && target.zone == source.snapshot.zone
            && target.used_permille() >= source.used_permille
    };
    // Copies, by index, of the targets to which replicas have been assigned.
    let mut filled_targets: BTreeMap<usize, MachineSnapshot> = BTreeMap::new();
    source.drainable.replicas.iter().all(|spec| {
        let target_index = (0..targets.len()).find(|index| {
            let snapshot = filled_targets.get(index).unwrap_or(targets[*index]);
            is_allowed_target(targets[*index]) && has_room_and_image(snapshot, spec)
        });
        let Some(index) = target_index else {
            return false;
        };
        let snapshot = filled_targets
            .entry(index)
            .or_insert_with(|| targets[index].clone());
        snapshot.allocate(spec, 1);
        true
    })
}

/// Reports whether the replica could run on the machine without fetching its image.
fn has_room_and_image(snapshot: &MachineSnapshot, replica: &JobSpec) -> bool {
    replica.request.fits_in(snapshot.available)
        && snapshot.is_eligible_for(replica)
        && snapshot.has_image_of(replica)
}

#[cfg(test)]
mod tests;
