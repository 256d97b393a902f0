//! Machine offers of the cloud, and the choice of the cheapest offer for a task.

use crate::constants::MAX_TASKS_PER_MACHINE;
use crate::model::{JobSpec, MachineType, MachineTypes, Resources};
use crate::placement::{self, MachineSnapshot, TasksByZone};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A kind of machine that can be rented from the cloud.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Name of the machine type.
    pub machine_type: Arc<str>,
    /// Zone of the machines.
    pub zone: Arc<str>,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

/// Returns all offers except the refused ones. Spot instances are included if `spot_enabled` is
/// set.
pub fn available_offers(
    types: &MachineTypes,
    refused: &BTreeSet<MachineOffer>,
    spot_enabled: bool,
) -> Vec<MachineOffer> {
    let purchase_options: &[bool] = if spot_enabled {
        &[false, true]
    } else {
        &[false]
    };
    let mut offers = Vec::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            for spot in purchase_options {
                let offer = MachineOffer {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                };
                if !refused.contains(&offer) {
                    offers.push(offer);
                }
            }
        }
    }
    offers
}

/// The offers that a scaling plan may rent, and the machine types.
#[derive(Clone, Copy)]
pub(super) struct Catalog<'a> {
    /// Machine types by name.
    pub types: &'a MachineTypes,
    /// Offers that may be rented.
    pub offers: &'a [MachineOffer],
}

/// An offer whose machines can hold a task, with the price for that task.
struct PricedOffer<'a> {
    offer: &'a MachineOffer,
    machine_type: &'a MachineType,
    /// Price per hour of the part of the machine that one task uses, multiplied by 1000.
    task_price: f64,
}

impl Catalog<'_> {
    /// Returns the price per hour of a machine, or `None` if its type is unknown.
    pub(super) fn price_of(&self, snapshot: &MachineSnapshot) -> Option<f64> {
        let machine_type = self.types.get(&snapshot.machine_type)?;
        Some(machine_type.hourly_price(snapshot.spot))
    }

    /// Returns a new machine of the offer on which one task of the job costs least, or `None` if no
    /// offer is eligible. `placed` is the number of the job's placed tasks in each zone. With
    /// `only_zone`, only offers in that zone are considered. Ties are broken by
    /// comparing the offers.
    pub(super) fn cheapest_machine(
        &self,
        spec: &JobSpec,
        placed: &TasksByZone,
        only_zone: Option<&Arc<str>>,
    ) -> Option<MachineSnapshot> {
        let is_eligible = |offer: &&MachineOffer| {
            only_zone.is_none_or(|zone| offer.zone == *zone)
                && placement::is_eligible(spec, &offer.machine_type, &offer.zone, offer.spot)
                && placement::zone_headroom(spec, placed, &offer.zone) > 0
        };
        self.offers
            .iter()
            .filter(is_eligible)
            .filter_map(|offer| self.priced_offer(offer, spec))
            .min_by(|left, right| {
                left.task_price
                    .total_cmp(&right.task_price)
                    .then_with(|| left.offer.cmp(right.offer))
            })
            .map(|cheapest| new_machine(cheapest.offer, cheapest.machine_type))
    }

    /// Returns the offer with its price for a task of the job, or `None` if the task does not fit
    /// on the offer's machines or their type is unknown.
    fn priced_offer<'a>(
        &'a self,
        offer: &'a MachineOffer,
        spec: &JobSpec,
    ) -> Option<PricedOffer<'a>> {
        let machine_type = self.types.get(&offer.machine_type)?;
        if !spec.request.fits_in(machine_type.capacity) {
            return None;
        }
        let task_permille = spec.request.permille_of(machine_type.capacity).max(1);
        Some(PricedOffer {
            offer,
            machine_type,
            task_price: machine_type.hourly_price(offer.spot) * task_permille as f64,
        })
    }
}

/// Returns the snapshot of an empty machine of the offer, equal to the one that placement uses once
/// the machine is up.
fn new_machine(offer: &MachineOffer, machine_type: &MachineType) -> MachineSnapshot {
    MachineSnapshot {
        id: "".into(),
        machine_type: offer.machine_type.clone(),
        zone: offer.zone.clone(),
        spot: offer.spot,
        capacity: machine_type.capacity,
        available: machine_type.capacity,
        free_task_slots: MAX_TASKS_PER_MACHINE,
        used_by_services: Resources::default(),
        images: Vec::new(),
        fetching: Vec::new(),
        boot_gb: machine_type.boot_gb(),
    }
}
