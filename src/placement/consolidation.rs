//! Which machine to drain: its replicas find room on others that hold services too, and it can be
//! returned.
//!
//! Services outlast the work that stood beside them, and leave machines half empty. A replica that
//! moves is down for as long as it takes to start again, so it goes only where its image is.

use super::{MachineSnapshot, allowed};
use crate::constants::MAX_DRAINED_USE_PERMILLE;
use crate::model::{JobSpec, MachineId, Resources};
use std::collections::BTreeMap;

/// A machine with nothing but replicas on it that may be stopped.
#[derive(Debug)]
pub struct Drainable<'a> {
    pub machine: MachineId,
    pub replicas: Vec<&'a JobSpec>,
}

/// The emptiest of `candidates` whose replicas all find room on other slots of their zone.
pub fn choose(candidates: &[Drainable<'_>], snapshots: &[MachineSnapshot]) -> Option<MachineId> {
    let by_id: BTreeMap<&MachineId, &MachineSnapshot> = snapshots
        .iter()
        .map(|snapshot| (&snapshot.id, snapshot))
        .collect();
    let mut sources: Vec<(u64, &Drainable<'_>, &MachineSnapshot)> = candidates
        .iter()
        .filter_map(|one| {
            let snapshot = *by_id.get(&one.machine)?;
            Some((share(snapshot), one, snapshot))
        })
        .filter(|(share, ..)| *share <= MAX_DRAINED_USE_PERMILLE)
        .collect();
    sources.sort_by_key(|(share, one, _)| (*share, &one.machine));
    let targets = targets(&sources, snapshots);
    sources
        .into_iter()
        .find(|(_, one, from)| all_find_room(&one.replicas, from, &targets))
        .map(|(_, one, _)| one.machine.clone())
}

/// Slots that hold services and have room for some replica: few in a busy fleet.
fn targets<'a>(
    sources: &[(u64, &Drainable<'_>, &MachineSnapshot)],
    snapshots: &'a [MachineSnapshot],
) -> Vec<&'a MachineSnapshot> {
    let replicas = sources.iter().flat_map(|(_, one, _)| &one.replicas);
    let requests = replicas.map(|spec| spec.request);
    let Some(least) = requests.reduce(Resources::component_min) else {
        return Vec::new();
    };
    let holds_services =
        |snapshot: &&MachineSnapshot| snapshot.long_running != Resources::default();
    let has_room = |snapshot: &&MachineSnapshot| least.fits_in(snapshot.available);
    snapshots
        .iter()
        .filter(holds_services)
        .filter(has_room)
        .collect()
}

/// The part of a machine that is in use, in thousandths.
fn share(snapshot: &MachineSnapshot) -> u64 {
    (snapshot.capacity - snapshot.available).permille_of(snapshot.capacity)
}

/// Whether each of the replicas has a place on a machine that is at least as full, holds services,
/// and has its image. Within the zone, so that the spread over zones stays as it is.
fn all_find_room(
    replicas: &[&JobSpec],
    from: &MachineSnapshot,
    targets: &[&MachineSnapshot],
) -> bool {
    let least_share = share(from);
    let may_take = |snapshot: &MachineSnapshot| {
        snapshot.id != from.id && snapshot.zone == from.zone && share(snapshot) >= least_share
    };
    // Copies of those that were given replicas.
    let mut filled: BTreeMap<usize, MachineSnapshot> = BTreeMap::new();
    replicas.iter().all(|spec| {
        let place = (0..targets.len()).find(|at| {
            let snapshot = filled.get(at).unwrap_or(targets[*at]);
            may_take(targets[*at])
                && spec.request.fits_in(snapshot.available)
                && allowed(spec, &snapshot.machine_type, &snapshot.zone, snapshot.spot)
                && (spec.image_gb <= 0.0 || snapshot.images.contains(&spec.image))
        });
        let Some(at) = place else { return false };
        let snapshot = filled.entry(at).or_insert_with(|| targets[at].clone());
        snapshot.allocate(spec, 1);
        true
    })
}

#[cfg(test)]
mod tests;
