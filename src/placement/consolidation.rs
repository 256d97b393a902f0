//! Consolidation: which machine to drain because other machines can take the replicas on it.
//!
//! Services outlast the work that ran beside them and leave machines half empty. A replica that
//! moves is down until it has started again, so it moves only to a machine that has its image.

use super::MachineSnapshot;
use crate::constants::MAX_DRAINED_USE_PERMILLE;
use crate::model::{JobSpec, MachineId, Resources};
use std::collections::BTreeMap;

/// A machine that holds nothing but replicas that may be stopped.
#[derive(Debug)]
pub struct Drainable<'a> {
    /// The machine.
    pub machine: MachineId,
    /// The job of each replica on it.
    pub replicas: Vec<&'a JobSpec>,
}

/// A machine that is little enough used to be drained.
struct Source<'a> {
    used_permille: u64,
    drainable: &'a Drainable<'a>,
    snapshot: &'a MachineSnapshot,
}

/// Chooses the least used candidate whose replicas all find room on other machines of its zone;
/// ties are broken by id.
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

/// The candidates that may be drained, the least used first.
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

/// Machines that hold services and have room for some replica: few in a busy cluster.
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

/// Whether each replica has room on a target that is at least as full and has its image. Targets
/// are of the same zone, so that the distribution over zones stays as it is.
fn can_move_all_replicas(source: &Source<'_>, targets: &[&MachineSnapshot]) -> bool {
    let is_allowed_target = |target: &MachineSnapshot| {
        target.id != source.snapshot.id
            && target.zone == source.snapshot.zone
            && target.used_permille() >= source.used_permille
    };
    // Copies of the targets that were given replicas, by index.
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

fn has_room_and_image(snapshot: &MachineSnapshot, replica: &JobSpec) -> bool {
    replica.request.fits_in(snapshot.available)
        && snapshot.is_eligible_for(replica)
        && snapshot.has_image_of(replica)
}

#[cfg(test)]
mod tests;
