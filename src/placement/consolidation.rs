//! Which machine to drain: its replicas find room on others that hold services too, and it can be
//! returned.
//!
//! Services outlast the work that stood beside them, and leave machines half empty. A replica that
//! moves is down for as long as it takes to start again, so it goes only where its image is.

use super::{Slot, allowed};
use crate::constants::DRAINED_SHARE_MAX;
use crate::model::{MachineId, Resources, Spec};

/// A machine with nothing but replicas on it that may be stopped.
#[derive(Debug)]
pub struct Drainable<'a> {
    pub machine: MachineId,
    pub replicas: Vec<&'a Spec>,
}

/// The emptiest of `candidates` whose replicas all find room on other slots of their zone.
pub fn choose(candidates: &[Drainable<'_>], slots: &[Slot]) -> Option<MachineId> {
    let mut sources: Vec<(u64, &Drainable<'_>, &Slot)> = candidates
        .iter()
        .filter_map(|one| {
            let slot = slots.iter().find(|slot| slot.id == one.machine)?;
            Some((share(slot), one, slot))
        })
        .filter(|(share, ..)| *share <= DRAINED_SHARE_MAX)
        .collect();
    sources.sort_by_key(|(share, one, _)| (*share, one.machine.clone()));
    sources
        .into_iter()
        .find(|(_, one, from)| all_find_room(&one.replicas, from, slots))
        .map(|(_, one, _)| one.machine.clone())
}

/// The part of a machine that is in use, in thousandths.
fn share(slot: &Slot) -> u64 {
    (slot.size - slot.room).share_of(slot.size)
}

/// Whether each of the replicas has a place on a machine that is at least as full, holds services,
/// and has its image. Within the zone, so that the spread over zones stays as it is.
fn all_find_room(replicas: &[&Spec], from: &Slot, slots: &[Slot]) -> bool {
    let mut others: Vec<Slot> = slots
        .iter()
        .filter(|slot| slot.id != from.id && slot.zone == from.zone)
        .filter(|slot| slot.settled != Resources::default() && share(slot) >= share(from))
        .cloned()
        .collect();
    replicas.iter().all(|spec| {
        let place = others.iter_mut().find(|slot| {
            spec.need.fits_in(slot.room)
                && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                && (spec.image_gb <= 0.0 || slot.images.contains(&spec.image))
        });
        place.map(|slot| slot.take(spec, 1)).is_some()
    })
}

#[cfg(test)]
mod tests;
