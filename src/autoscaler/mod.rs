//! What to rent: a pure function from waiting tasks, expected room and offers to rentals.

use crate::constants;
use crate::model::{Job, JobId, JobSpec, MachineId, MachineType, MachineTypes, Resources};
use crate::placement::{self, Assignment, MachineSnapshot};
use crate::settings::{ObjectiveKind, ServiceLevelObjective};
use crate::wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A type, zone and kind (spot or not) that can be asked for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
}

/// A job with tasks for which there is no room, and its placed tasks by zone.
pub struct WaitingJob<'a> {
    pub job: &'a Job,
    pub tasks: u32,
    pub zones: BTreeMap<Arc<str>, u32>,
}

/// Jobs that arrived lately, from which the near future is guessed.
#[derive(Debug, Default)]
pub struct ArrivalHistory {
    /// By time of submission (time of day, ms): the same for a node that has just started.
    seen: BTreeMap<(u64, JobId), JobSpec>,
}

impl ArrivalHistory {
    pub fn note(&mut self, submitted: u64, id: &JobId, spec: &JobSpec) {
        self.seen.insert((submitted, id.clone()), spec.clone());
        if self.seen.len() > constants::MAX_ARRIVALS {
            self.seen.pop_first();
        }
    }

    /// Jobs to expect while a machine boots, as copies of the latest ones of their class, for
    /// classes with an aim that a job misses if a machine has to be rented for it first.
    pub fn expected(
        &self,
        unix_ms: u64,
        types: &MachineTypes,
        objectives: &[ServiceLevelObjective],
    ) -> Vec<JobSpec> {
        let first = self.seen.keys().next().map_or(unix_ms, |(at, _)| *at);
        let window = unix_ms
            .saturating_sub(first)
            .clamp(1, constants::ARRIVAL_WINDOW_MS);
        let mut classes: BTreeMap<&Arc<str>, Vec<&JobSpec>> = BTreeMap::new();
        for ((at, _), spec) in self.seen.iter().rev() {
            if unix_ms.saturating_sub(*at) <= window {
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
            let room = |spec: &JobSpec| JobSpec {
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
    fn held_ms(self, spec: &JobSpec) -> u64 {
        match spec.kind {
            JobKind::Service => u64::MAX,
            JobKind::Array | JobKind::Gang => {
                spec.expected_duration_ms.saturating_add(self.fetch_ms)
            }
        }
    }
}

/// The shortest nominal time from renting a machine to having the job's image on it.
fn quickest(spec: &JobSpec, types: &MachineTypes) -> Option<Startup> {
    types
        .values()
        .filter(|t| spec.request.fits_in(t.capacity))
        .filter(|t| {
            spec.machine_types
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
fn starts_late(class: &str, start_ms: u64, objectives: &[ServiceLevelObjective]) -> bool {
    objectives.iter().any(|objective| {
        objective.kind == ObjectiveKind::Wait
            && objective.class.as_deref() == Some(class)
            && objective
                .within
                .is_some_and(|within| u128::from(start_ms) > within.as_millis())
    })
}

/// Offers not refused a moment ago.
pub fn offers(
    types: &MachineTypes,
    refused: &BTreeSet<MachineOffer>,
    spot: bool,
) -> Vec<MachineOffer> {
    let mut offers = Vec::new();
    for t in types.values() {
        for zone in &t.zones {
            for spot in [false, true].into_iter().filter(|s| spot || !s) {
                let offer = MachineOffer {
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
pub struct ScalingPlan {
    pub rent: BTreeMap<MachineOffer, u64>,
    pub keep: BTreeSet<MachineId>,
}

/// How many machines of each offer to rent, at most `most` in all, so that the waiting tasks
/// find room, given the room of machines that are up or expected.
pub fn scaling_plan(
    waiting: &[WaitingJob<'_>],
    mut snapshots: Vec<MachineSnapshot>,
    types: &MachineTypes,
    offers: &[MachineOffer],
    most: u64,
) -> ScalingPlan {
    let known = snapshots.len();
    let mut wanted = ScalingPlan::default();
    for one in waiting {
        let fit = match one.job.spec.single_zone {
            false => Some(TrialPlacement::new(one, &snapshots, types, offers, None)),
            // Each zone is tried as a whole; the one that costs least more is kept.
            true => {
                let zones: BTreeSet<&Arc<str>> = snapshots
                    .iter()
                    .map(|s| &s.zone)
                    .chain(offers.iter().map(|o| &o.zone))
                    .collect();
                zones
                    .into_iter()
                    .map(|zone| TrialPlacement::new(one, &snapshots, types, offers, Some(zone)))
                    .filter(|fit| fit.tasks() == one.tasks)
                    .min_by(|a, b| a.cost(types).total_cmp(&b.cost(types)))
            }
        };
        let Some(fit) = fit else { continue };
        for (at, _) in fit.places.iter().filter(|(at, _)| *at < known) {
            wanted.keep.insert(snapshots[*at].id.clone());
        }
        fit.take(one, &mut snapshots);
    }
    for snapshot in snapshots.into_iter().skip(known).take(most as usize) {
        let offer = MachineOffer {
            machine_type: snapshot.machine_type,
            zone: snapshot.zone,
            spot: snapshot.spot,
        };
        *wanted.rent.entry(offer).or_insert(0) += 1;
    }
    wanted
}

/// Whether the tasks fit into `slots` as they are; takes the room if they do.
pub fn has_room(one: &WaitingJob<'_>, snapshots: &mut Vec<MachineSnapshot>) -> bool {
    let fit = TrialPlacement::new(one, snapshots, &MachineTypes::new(), &[], None);
    let all = fit.tasks() == one.tasks;
    if all {
        fit.take(one, snapshots);
    }
    all
}

/// Where waiting tasks would go: to slots that are there, and to new ones.
struct TrialPlacement {
    places: Vec<Assignment>,
    new: Vec<(MachineSnapshot, u32)>,
}

impl TrialPlacement {
    /// As many of the tasks as find room, in the one zone if one is named.
    fn new(
        one: &WaitingJob<'_>,
        snapshots: &[MachineSnapshot],
        types: &MachineTypes,
        offers: &[MachineOffer],
        only: Option<&Arc<str>>,
    ) -> TrialPlacement {
        let spec = &one.job.spec;
        let places = placement::places(spec, &one.zones, snapshots, one.tasks, only);
        let mut zones = one.zones.clone();
        for (at, count) in &places {
            *zones.entry(snapshots[*at].zone.clone()).or_insert(0) += count;
        }
        let mut left = one.tasks - placement::tasks_of(&places);
        let mut new = Vec::new();
        while left > 0
            && let Some(snapshot) = cheapest(one, &zones, types, offers, only)
        {
            let count = snapshot.max_tasks(spec, &zones, left);
            *zones.entry(snapshot.zone.clone()).or_insert(0) += count;
            left -= count;
            new.push((snapshot, count));
        }
        TrialPlacement { places, new }
    }

    fn tasks(&self) -> u32 {
        let new: u32 = self.new.iter().map(|(_, count)| count).sum();
        placement::tasks_of(&self.places) + new
    }

    /// What the new machines cost an hour.
    fn cost(&self, types: &MachineTypes) -> f64 {
        let price = |snapshot: &MachineSnapshot| {
            Some(types.get(&snapshot.machine_type)?.price_of(snapshot.spot))
        };
        self.new
            .iter()
            .filter_map(|(snapshot, _)| price(snapshot))
            .sum()
    }

    fn take(self, one: &WaitingJob<'_>, snapshots: &mut Vec<MachineSnapshot>) {
        for (at, count) in self.places {
            snapshots[at].allocate(&one.job.spec, count);
        }
        for (mut snapshot, count) in self.new {
            snapshot.allocate(&one.job.spec, count);
            snapshots.push(snapshot);
        }
    }
}

/// A new machine of the offer on which one task's share costs least.
fn cheapest(
    one: &WaitingJob<'_>,
    zones: &BTreeMap<Arc<str>, u32>,
    types: &MachineTypes,
    offers: &[MachineOffer],
    only: Option<&Arc<str>>,
) -> Option<MachineSnapshot> {
    let spec = &one.job.spec;
    let share_price = |t: &MachineType, spot| {
        t.price_of(spot) * spec.request.permille_of(t.capacity).max(1) as f64
    };
    offers
        .iter()
        .filter(|o| {
            only.is_none_or(|zone| o.zone == *zone)
                && placement::allowed(spec, &o.machine_type, &o.zone, o.spot)
                && placement::zone_room(spec, zones, &o.zone) > 0
        })
        .filter_map(|o| {
            let t = types.get(&o.machine_type)?;
            spec.request
                .fits_in(t.capacity)
                .then(|| (share_price(t, o.spot), o, t))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
        .map(|(_, o, t)| MachineSnapshot {
            id: "".into(),
            machine_type: o.machine_type.clone(),
            zone: o.zone.clone(),
            spot: o.spot,
            capacity: t.capacity,
            available: t.capacity,
            free_task_slots: constants::MAX_TASKS_PER_MACHINE,
            long_running: Resources::default(),
            images: Vec::new(),
            fetching: Vec::new(),
            boot_gb: t.boot_gb(),
        })
}

#[cfg(test)]
mod tests;
