//! Which machine to drain: its replicas find room on others that hold services too, and it can be
//! returned.
//!
//! Services outlast the work that stood beside them, and leave machines half empty. A replica that
//! moves is down for as long as it takes to start again, so it goes only where its image is.

use super::{Slot, allowed};
use crate::constants::DRAINED_SHARE_MAX;
use crate::model::{MachineId, Resources, Spec};
use std::collections::BTreeMap;

/// A machine with nothing but replicas on it that may be stopped.
#[derive(Debug)]
pub struct Drainable<'a> {
    pub machine: MachineId,
    pub replicas: Vec<&'a Spec>,
}

/// The emptiest of `candidates` whose replicas all find room on other slots of their zone.
pub fn choose(candidates: &[Drainable<'_>], slots: &[Slot]) -> Option<MachineId> {
    let by_id: BTreeMap<&MachineId, &Slot> = slots.iter().map(|slot| (&slot.id, slot)).collect();
    let mut sources: Vec<(u64, &Drainable<'_>, &Slot)> = candidates
        .iter()
        .filter_map(|one| {
            let slot = *by_id.get(&one.machine)?;
            Some((share(slot), one, slot))
        })
        .filter(|(share, ..)| *share <= DRAINED_SHARE_MAX)
        .collect();
    sources.sort_by_key(|(share, one, _)| (*share, &one.machine));
    let targets = targets(&sources, slots);
    sources
        .into_iter()
        .find(|(_, one, from)| all_find_room(&one.replicas, from, &targets))
        .map(|(_, one, _)| one.machine.clone())
}

/// Slots that hold services and have room for some replica: few in a busy fleet.
fn targets<'a>(sources: &[(u64, &Drainable<'_>, &Slot)], slots: &'a [Slot]) -> Vec<&'a Slot> {
    let replicas = sources.iter().flat_map(|(_, one, _)| &one.replicas);
    let needs = replicas.map(|spec| spec.need);
    let Some(least) = needs.reduce(Resources::least_of) else {
        return Vec::new();
    };
    let holds_services = |slot: &&Slot| slot.settled != Resources::default();
    let has_room = |slot: &&Slot| least.fits_in(slot.room);
    slots
        .iter()
        .filter(holds_services)
        .filter(has_room)
        .collect()
}

/// The part of a machine that is in use, in thousandths.
fn share(slot: &Slot) -> u64 {
    (slot.size - slot.room).share_of(slot.size)
}

/// Whether each of the replicas has a place on a machine that is at least as full, holds services,
/// and has its image. Within the zone, so that the spread over zones stays as it is.
fn all_find_room(replicas: &[&Spec], from: &Slot, targets: &[&Slot]) -> bool {
    let least_share = share(from);
    let may_take =
        |slot: &Slot| slot.id != from.id && slot.zone == from.zone && share(slot) >= least_share;
    // Copies of those that were given replicas.
    let mut filled: BTreeMap<usize, Slot> = BTreeMap::new();
    replicas.iter().all(|spec| {
        let place = (0..targets.len()).find(|at| {
            let slot = filled.get(at).unwrap_or(targets[*at]);
            may_take(targets[*at])
                && spec.need.fits_in(slot.room)
                && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                && (spec.image_gb <= 0.0 || slot.images.contains(&spec.image))
        });
        let Some(at) = place else { return false };
        let slot = filled.entry(at).or_insert_with(|| targets[at].clone());
        slot.take(spec, 1);
        true
    })
}

#[cfg(test)]
mod tests;
