//! What to rent: a pure function from waiting tasks, expected room and offers to rentals.

use crate::constants as k;
use crate::model::{Job, JobId, MachineId, MachineType, Resources, Spec, Types};
use crate::placement::{self, Place, Slot};
use crate::settings::Objective;
use crate::wire::user::Kind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A type, zone and kind (spot or not) that can be asked for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
}

/// A job with tasks for which there is no room, and its placed tasks by zone.
pub struct Waiting<'a> {
    pub job: &'a Job,
    pub tasks: u32,
    pub zones: BTreeMap<Arc<str>, u32>,
}

/// Jobs that arrived lately, from which the near future is guessed.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// By time of submission (time of day, ms): the same for a node that has just started.
    seen: BTreeMap<(u64, JobId), Spec>,
}

impl Arrivals {
    pub fn note(&mut self, submitted: u64, id: &JobId, spec: &Spec) {
        self.seen.insert((submitted, id.clone()), spec.clone());
        if self.seen.len() > k::ARRIVALS_MOST {
            self.seen.pop_first();
        }
    }

    /// Jobs to expect while a machine boots, as copies of the latest ones of their class, for
    /// classes with an aim that a job misses if a machine has to be rented for it first.
    pub fn expected(&self, wall: u64, types: &Types, objectives: &[Objective]) -> Vec<Spec> {
        let first = self.seen.keys().next().map_or(wall, |(at, _)| *at);
        let window = wall.saturating_sub(first).clamp(1, k::ARRIVALS_MS);
        let mut classes: BTreeMap<&Arc<str>, Vec<&Spec>> = BTreeMap::new();
        for ((at, _), spec) in self.seen.iter().rev() {
            if wall.saturating_sub(*at) <= window {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        let mut expected = Vec::new();
        for (class, specs) in classes {
            let Some(startup) = specs.iter().find_map(|spec| {
                let startup = quickest(spec, types)?;
                starts_late(class, startup.whole_ms(), objectives).then_some(startup)
            }) else {
                continue;
            };
            let lead_ms = startup.whole_ms() + startup.whole_ms() / 2;
            // One that ends within the lead time leaves its room to a later one. (Counted in full,
            // arrays of 25 s, expected over 73 s, kept three times the room that they ever held.)
            let held_ms: u64 = specs
                .iter()
                .map(|spec| startup.held_ms(spec).min(lead_ms))
                .sum();
            let count = held_ms.div_ceil(window);
            // They will not all come at once, nor with these images: it is their room that counts.
            // (With its image, each was to have a machine of its own to fetch on, and twice as
            // many were rented in the first minutes as then had work.)
            let room = |spec: &Spec| Spec {
                image_gb: 0.0,
                ..spec.clone()
            };
            expected.extend(specs.into_iter().take(count as usize).map(room));
        }
        expected
    }
}

/// What has to pass before a job's tasks run on a machine that is yet to be rented, nominally.
#[derive(Debug, Clone, Copy)]
struct Startup {
    boot_ms: u64,
    fetch_ms: u64,
}

impl Startup {
    fn whole_ms(self) -> u64 {
        self.boot_ms + self.fetch_ms
    }

    /// How long a job's tasks hold their room, by its owner's estimate; a service's hold it for
    /// ever.
    fn held_ms(self, spec: &Spec) -> u64 {
        match spec.kind {
            Kind::Service => u64::MAX,
            Kind::Array | Kind::Gang => spec.estimate_ms.saturating_add(self.fetch_ms),
        }
    }
}

/// The shortest nominal time from renting a machine to having the job's image on it.
fn quickest(spec: &Spec, types: &Types) -> Option<Startup> {
    types
        .values()
        .filter(|t| spec.need.fits_in(t.size))
        .filter(|t| {
            spec.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        })
        .map(|t| Startup {
            boot_ms: t.boot_ms,
            fetch_ms: (spec.image_gb / t.fetch_gb_per_s.max(1e-3) * 1000.0) as u64,
        })
        .min_by_key(|startup| startup.whole_ms())
}

/// Whether a job that starts only after `start_ms` misses its class's aim for waiting.
fn starts_late(class: &str, start_ms: u64, objectives: &[Objective]) -> bool {
    objectives.iter().any(|aim| {
        let within_ms = aim.within_s.map_or(u64::MAX, |s| (s * 1000.0) as u64);
        aim.kind == "wait" && aim.class.as_deref() == Some(class) && start_ms > within_ms
    })
}

/// Offers not refused a moment ago.
pub fn offers(types: &Types, refused: &BTreeSet<Offer>, spot: bool) -> Vec<Offer> {
    let mut offers = Vec::new();
    for t in types.values() {
        for zone in &t.zones {
            for spot in [false, true].into_iter().filter(|s| spot || !s) {
                let offer = Offer {
                    machine_type: t.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !refused.contains(&offer) {
                    offers.push(offer);
                }
            }
        }
    }
    offers
}

/// What should be rented, and which machines should be kept although they are idle.
#[derive(Debug, Default)]
pub struct Wanted {
    pub rent: BTreeMap<Offer, u64>,
    pub keep: BTreeSet<MachineId>,
}

/// How many machines of each offer to rent, at most `most` in all, so that the waiting tasks
/// find room, given the room of machines that are up or expected.
pub fn wanted(
    waiting: &[Waiting<'_>],
    mut slots: Vec<Slot>,
    types: &Types,
    offers: &[Offer],
    most: u64,
) -> Wanted {
    let known = slots.len();
    let mut wanted = Wanted::default();
    for one in waiting {
        let fit = match one.job.spec.one_zone {
            false => Some(Fit::new(one, &slots, types, offers, None)),
            // Each zone is tried as a whole; the one that costs least more is kept.
            true => {
                let zones: BTreeSet<&Arc<str>> = slots
                    .iter()
                    .map(|s| &s.zone)
                    .chain(offers.iter().map(|o| &o.zone))
                    .collect();
                zones
                    .into_iter()
                    .map(|zone| Fit::new(one, &slots, types, offers, Some(zone)))
                    .filter(|fit| fit.tasks() == one.tasks)
                    .min_by(|a, b| a.cost(types).total_cmp(&b.cost(types)))
            }
        };
        let Some(fit) = fit else { continue };
        for (at, _) in fit.places.iter().filter(|(at, _)| *at < known) {
            wanted.keep.insert(slots[*at].id.clone());
        }
        fit.take(one, &mut slots);
    }
    for slot in slots.into_iter().skip(known).take(most as usize) {
        let offer = Offer {
            machine_type: slot.machine_type,
            zone: slot.zone,
            spot: slot.spot,
        };
        *wanted.rent.entry(offer).or_insert(0) += 1;
    }
    wanted
}

/// Whether the tasks fit into `slots` as they are; takes the room if they do.
pub fn has_room(one: &Waiting<'_>, slots: &mut Vec<Slot>) -> bool {
    let fit = Fit::new(one, slots, &Types::new(), &[], None);
    let all = fit.tasks() == one.tasks;
    if all {
        fit.take(one, slots);
    }
    all
}

/// Where waiting tasks would go: to slots that are there, and to new ones.
struct Fit {
    places: Vec<Place>,
    new: Vec<(Slot, u32)>,
}

impl Fit {
    /// As many of the tasks as find room, in the one zone if one is named.
    fn new(
        one: &Waiting<'_>,
        slots: &[Slot],
        types: &Types,
        offers: &[Offer],
        only: Option<&Arc<str>>,
    ) -> Fit {
        let spec = &one.job.spec;
        let places = placement::places(spec, &one.zones, slots, one.tasks, only);
        let mut zones = one.zones.clone();
        for (at, count) in &places {
            *zones.entry(slots[*at].zone.clone()).or_insert(0) += count;
        }
        let mut left = one.tasks - placement::tasks_of(&places);
        let mut new = Vec::new();
        while left > 0
            && let Some(slot) = cheapest(one, &zones, types, offers, only)
        {
            let count = slot.takes(spec, &zones, left);
            *zones.entry(slot.zone.clone()).or_insert(0) += count;
            left -= count;
            new.push((slot, count));
        }
        Fit { places, new }
    }

    fn tasks(&self) -> u32 {
        let new: u32 = self.new.iter().map(|(_, count)| count).sum();
        placement::tasks_of(&self.places) + new
    }

    /// What the new machines cost an hour.
    fn cost(&self, types: &Types) -> f64 {
        let price = |slot: &Slot| Some(types.get(&slot.machine_type)?.price_of(slot.spot));
        self.new.iter().filter_map(|(slot, _)| price(slot)).sum()
    }

    fn take(self, one: &Waiting<'_>, slots: &mut Vec<Slot>) {
        for (at, count) in self.places {
            slots[at].take(&one.job.spec, count);
        }
        for (mut slot, count) in self.new {
            slot.take(&one.job.spec, count);
            slots.push(slot);
        }
    }
}

/// A new machine of the offer on which one task's share costs least.
fn cheapest(
    one: &Waiting<'_>,
    zones: &BTreeMap<Arc<str>, u32>,
    types: &Types,
    offers: &[Offer],
    only: Option<&Arc<str>>,
) -> Option<Slot> {
    let spec = &one.job.spec;
    let share_price =
        |t: &MachineType, spot| t.price_of(spot) * spec.need.share_of(t.size).max(1) as f64;
    offers
        .iter()
        .filter(|o| {
            only.is_none_or(|zone| o.zone == *zone)
                && placement::allowed(spec, &o.machine_type, &o.zone, o.spot)
                && placement::zone_room(spec, zones, &o.zone) > 0
        })
        .filter_map(|o| {
            let t = types.get(&o.machine_type)?;
            spec.need
                .fits_in(t.size)
                .then(|| (share_price(t, o.spot), o, t))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
        .map(|(_, o, t)| Slot {
            id: "".into(),
            machine_type: o.machine_type.clone(),
            zone: o.zone.clone(),
            spot: o.spot,
            size: t.size,
            room: t.size,
            free_tasks: k::MACHINE_TASKS,
            settled: Resources::default(),
            images: Vec::new(),
            fetching: Vec::new(),
            boot_gb: t.boot_gb(),
        })
}

#[cfg(test)]
mod tests;
