//! From the model to a round: pure functions.
//!
//! Jobs are taken by priority, then those within their team's guarantee, then by deadline.
//! Each task goes to the fitting machine that is left fullest, within the rules on types,
//! zones and kinds of machine and the team's limit.

pub mod consolidation;
pub mod preempt;

use crate::constants::{MACHINE_TASKS, UNPLACED_MOST};
use crate::model::{Job, JobId, MachineId, Resources, Spec};
use crate::settings::Limit;
use crate::wire::user::Kind;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

/// A machine, real or expected, with its room.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub size: Resources,
    pub room: Resources,
    /// How many more tasks its reports have room for.
    pub free_tasks: u32,
    /// What tasks hold that don't end by themselves (services).
    pub settled: Resources,
    /// Images that it has.
    pub images: Vec<Arc<str>>,
    /// Images that it is fetching, or will with the starts it was given, and what GB are left.
    pub fetching: Vec<(Arc<str>, f64)>,
    /// GB that it fetches in the time in which another machine of its type boots.
    pub boot_gb: f64,
}

impl Slot {
    /// Takes the room of `count` tasks.
    pub fn take(&mut self, spec: &Spec, count: u32) {
        let need = spec.need.times(u64::from(count));
        self.room = self.room - need;
        self.free_tasks = self.free_tasks.saturating_sub(count);
        if spec.kind == Kind::Service {
            self.settled += need;
        }
        let there = spec.image_gb <= 0.0 || self.images.contains(&spec.image);
        if !there && !self.fetches(&spec.image) {
            self.fetching.push((spec.image.clone(), spec.image_gb));
        }
    }

    /// How many of `most` more tasks go here, given the job's tasks by zone.
    pub fn takes(&self, spec: &Spec, zones: &BTreeMap<Arc<str>, u32>, most: u32) -> u32 {
        most.min(self.room.count_of(spec.need))
            .min(self.free_tasks)
            .min(zone_room(spec, zones, &self.zone))
    }

    fn fetches(&self, image: &Arc<str>) -> bool {
        self.fetching.iter().any(|(name, _)| name == image)
    }

    /// Whether a task is better off here than on a machine that has yet to boot. Fetches on one
    /// machine share its rate: behind more than a boot's worth of other images it is not.
    /// (Filled with whatever waited, the first machines of the day took twice as long as need
    /// be to have any of their images, and the next ones came up to find nothing to do.)
    fn is_soon(&self, image: &Arc<str>) -> bool {
        self.images.contains(image)
            || self.fetches(image)
            || self.fetching.iter().map(|(_, gb)| gb).sum::<f64>() <= self.boot_gb
    }

    /// How soon a task would have its image here: it is there, is on its way, would be fetched
    /// alone, or would share the machine's rate with other fetches.
    fn image_rank(&self, image: &Arc<str>) -> usize {
        if self.images.contains(image) {
            0
        } else if self.fetches(image) {
            1
        } else {
            2 + self.fetching.len()
        }
    }
}

/// A job that may start tasks.
#[derive(Debug)]
pub struct Candidate<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Fits into its team's guarantee together with the team's earlier unfinished jobs.
    pub guaranteed: bool,
    /// Has waited so long that it goes first, and that room is held back for it.
    pub aged: bool,
    /// Its placed tasks by zone.
    pub zones: BTreeMap<Arc<str>, u32>,
}

/// What each team uses and may use.
#[derive(Debug, Clone, Default)]
pub struct Teams {
    pub used: BTreeMap<Arc<str>, Resources>,
    pub limits: BTreeMap<Arc<str>, Limit>,
}

impl Teams {
    fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Takes `need` for the team up to `most` times, as its limit allows; how often it did.
    fn take(&mut self, team: &Arc<str>, need: Resources, most: u32) -> u32 {
        let used = self.used(team);
        let left = self.limits.get(team).map(|limit| limit.less(used));
        let times = left.map_or(0, |left| left.count_of(need).min(most));
        if times > 0 {
            self.used
                .insert(team.clone(), used + need.times(u64::from(times)));
        }
        times
    }

    fn give_back(&mut self, team: &Arc<str>, need: Resources) {
        let used = self.used(team) - need;
        self.used.insert(team.clone(), used);
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    pub job: JobId,
    pub index: u32,
    pub machine: MachineId,
}

/// Tasks that the team's limit would allow but for which there is no room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unplaced {
    pub job: JobId,
    pub tasks: u32,
}

#[derive(Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Starts of a round that one transaction writes.
    pub starts: Vec<Start>,
    /// Starts of one gang that is larger than that: a round of its own.
    pub large_gang: Vec<Start>,
    pub unplaced: Vec<Unplaced>,
}

/// Takes the room for a job's next tasks at their places; their starts.
fn starts_at(
    id: &JobId,
    spec: &Spec,
    mut indices: impl Iterator<Item = u32>,
    places: &[Place],
    slots: &mut [Slot],
) -> Vec<Start> {
    let mut starts = Vec::new();
    for (at, count) in places {
        let slot = &mut slots[*at];
        slot.take(spec, *count);
        for index in indices.by_ref().take(*count as usize) {
            starts.push(Start {
                job: id.clone(),
                index,
                machine: slot.id.clone(),
            });
        }
    }
    starts
}

/// Orders jobs: who is served first. Those that have waited too long come before all others, in the
/// order in which they could have begun: by priority, a lasting backlog of urgent work would keep the
/// rest waiting for ever.
pub fn order(candidates: &mut [Candidate<'_>]) {
    candidates.sort_by(|a, b| {
        let key = |c: &Candidate<'_>| match c.aged {
            true => (c.aged, None, Reverse(c.job.ready)),
            false => {
                let rank = Some((c.job.priority(), c.guaranteed));
                (c.aged, rank, Reverse(c.job.due()))
            }
        };
        key(b).cmp(&key(a)).then_with(|| a.id.cmp(b.id))
    });
}

/// Whether the job may use this machine's type, zone and kind at all.
pub fn allowed(spec: &Spec, machine_type: &Arc<str>, zone: &Arc<str>, spot: bool) -> bool {
    (!spot || spec.spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|types| types.contains(machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// How many more tasks may be in `zone`, given the job's tasks by zone.
pub fn zone_room(spec: &Spec, zones: &BTreeMap<Arc<str>, u32>, zone: &Arc<str>) -> u32 {
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    match spec.one_zone && elsewhere {
        true => 0,
        false => spec.zone_most().saturating_sub(here),
    }
}

/// What one round may hold.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Starts that one transaction writes.
    pub starts: usize,
    /// Jobs with starts: the round's conditions name each.
    pub jobs: usize,
    /// Whether a gang with more starts than that may be placed in a round of its own.
    pub large_gang: bool,
}

/// Plans a round within `bounds`; changes `slots` (their order, too) and `teams` to what is left.
pub fn plan(
    candidates: &[Candidate<'_>],
    slots: &mut Vec<Slot>,
    teams: &mut Teams,
    bounds: Bounds,
) -> Plan {
    let mut plan = Plan::default();
    let open = with_room_first(slots, candidates.iter().map(|c| c.job.spec.need));
    let mut jobs = 0;
    for candidate in candidates {
        let Candidate { id, job, zones, .. } = candidate;
        let before = plan.starts.len();
        // A full round is no end: what else waits for room has to be known for renting.
        let left = match jobs < bounds.jobs {
            true => bounds.starts.saturating_sub(before),
            false => 0,
        };
        if job.spec.kind == Kind::Gang {
            let large = job.spec.tasks as usize > bounds.starts;
            let left = match large {
                true if bounds.large_gang && plan.large_gang.is_empty() => usize::MAX,
                true => 0,
                false => left,
            };
            let fits = plan_gang(id, job, &mut slots[..open], teams, left, &mut plan);
            if large {
                plan.large_gang.extend(plan.starts.drain(before..));
            }
            if !fits && candidate.aged {
                hold_back(&job.spec, slots);
            }
        } else {
            plan_tasks(id, job, zones, &mut slots[..open], teams, left, &mut plan);
        }
        jobs += usize::from(plan.starts.len() > before);
    }
    plan
}

/// The least room of machines that a round can use: those in which no candidate's task fits are left
/// out, unless room is held back for a gang, for which full machines count as well.
pub fn least_room(candidates: &[Candidate<'_>]) -> Resources {
    let holds_back = |c: &Candidate<'_>| c.aged && c.job.spec.kind == Kind::Gang;
    if candidates.iter().any(holds_back) {
        return Resources::default();
    }
    let needs = candidates.iter().map(|c| c.job.spec.need);
    needs.reduce(Resources::least_of).unwrap_or_default()
}

/// Brings the slots in which the least of `needs` has room to the front; how many they are. The
/// others, most of a busy fleet, need not be looked at for each job.
fn with_room_first(slots: &mut Vec<Slot>, needs: impl Iterator<Item = Resources>) -> usize {
    let Some(least) = needs.reduce(Resources::least_of) else {
        return 0;
    };
    let (open, full): (Vec<Slot>, Vec<Slot>) = std::mem::take(slots)
        .into_iter()
        .partition(|slot| least.fits_in(slot.room));
    let count = open.len();
    slots.extend(open);
    slots.extend(full);
    count
}

fn plan_tasks(
    id: &JobId,
    job: &Job,
    zones: &BTreeMap<Arc<str>, u32>,
    slots: &mut [Slot],
    teams: &mut Teams,
    left: usize,
    plan: &mut Plan,
) {
    let spec = &job.spec;
    let left = left.min(u32::MAX as usize) as u32;
    // No need to know by how much a huge array exceeds any fleet.
    let waiting = job.pending.len() as u32;
    let most = waiting.min(left.saturating_add(UNPLACED_MOST));
    let wanted = teams.take(&spec.team, spec.need, most);
    let places = places(spec, zones, slots, wanted.min(left), None);
    let unplaced = wanted - tasks_of(&places);
    let starts = starts_at(id, spec, job.pending.iter(), &places, slots);
    plan.starts.extend(starts);
    if unplaced > 0 {
        teams.give_back(&spec.team, spec.need.times(u64::from(unplaced)));
        plan.unplaced.push(Unplaced {
            job: id.clone(),
            tasks: unplaced.min(UNPLACED_MOST),
        });
    }
}

/// The zones with machines in them.
fn zones(slots: &[Slot]) -> BTreeSet<&Arc<str>> {
    slots.iter().map(|s| &s.zone).collect()
}

/// Sets room aside for a gang that has waited too long: nothing that comes after it in the order
/// starts on the machines of the zone that are nearest to having room for all of it. (Smaller
/// work took each machine as it came free, and a gang of many whole machines never began.)
fn hold_back(spec: &Spec, slots: &mut [Slot]) {
    let choice = |only: Option<&Arc<str>>| {
        let mut fitting: Vec<(Resources, usize)> = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| {
                only.is_none_or(|zone| slot.zone == *zone)
                    && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && spec.need.fits_in(slot.size - slot.settled)
            })
            .map(|(at, slot)| (slot.size - slot.settled - slot.room, at))
            .collect();
        // Those with the least to end first.
        fitting.sort_by_key(|(ending, at)| (ending.share_of(slots[*at].size), *at));
        let mut left = spec.tasks;
        let (mut held, mut ending) = (Vec::new(), 0);
        for (still, at) in fitting {
            if left == 0 {
                break;
            }
            let fits = (slots[at].size - slots[at].settled).count_of(spec.need);
            left = left.saturating_sub(fits.min(MACHINE_TASKS));
            ending += still.share_of(slots[at].size);
            held.push(at);
        }
        (left == 0).then_some((ending, held))
    };
    let best = match spec.one_zone {
        true => zones(slots)
            .into_iter()
            .filter_map(|zone| choice(Some(zone)))
            .min_by_key(|(ending, _)| *ending),
        false => choice(None),
    };
    for at in best.into_iter().flat_map(|(_, held)| held) {
        slots[at].room = Resources::default();
    }
}

/// All tasks of a gang or none; false if it is room that it lacks.
fn plan_gang(
    id: &JobId,
    job: &Job,
    slots: &mut [Slot],
    teams: &mut Teams,
    left: usize,
    plan: &mut Plan,
) -> bool {
    let spec = &job.spec;
    if teams.take(&spec.team, spec.whole(), 1) == 0 {
        // Its team's own work is in the way, not a lack of room.
        return true;
    }
    let full = spec.tasks as usize > left;
    let places = match full {
        true => None,
        false => gang_places(spec, slots),
    };
    let Some(places) = places else {
        teams.give_back(&spec.team, spec.whole());
        plan.unplaced.push(Unplaced {
            job: id.clone(),
            tasks: spec.tasks,
        });
        return full;
    };
    plan.starts
        .extend(starts_at(id, spec, 0..spec.tasks, &places, slots));
    true
}

/// Places for all tasks of a gang, in one zone if it asks for that.
fn gang_places(spec: &Spec, slots: &[Slot]) -> Option<Vec<Place>> {
    let none = BTreeMap::new();
    let try_in = |only| {
        let places = places(spec, &none, slots, spec.tasks, only);
        (tasks_of(&places) == spec.tasks).then_some(places)
    };
    if !spec.one_zone {
        return try_in(None);
    }
    let emptiness = |places: &Vec<Place>| -> u64 {
        let of = |(at, count): &Place| {
            let slot = &slots[*at];
            (1000 - (slot.size - slot.room).share_of(slot.size).min(1000)) * u64::from(*count)
        };
        places.iter().map(of).sum()
    };
    zones(slots)
        .into_iter()
        .filter_map(|zone| try_in(Some(zone)))
        .min_by_key(emptiness)
}

/// A slot by its position, and how many tasks go there.
pub type Place = (usize, u32);

pub fn tasks_of(places: &[Place]) -> u32 {
    places.iter().map(|(_, count)| count).sum()
}

/// Where up to `tasks` tasks of a job go, given its placed tasks by zone: to the slots that are
/// left fullest, among those where the image is soonest there. That is an exception to plain
/// fullest fit, since a fetch takes longer than many aims allow and fetches on one machine share
/// its rate. `only`: in this zone alone.
///
/// The tasks are alike, and a slot that was best for one is best for the next while it has room:
/// it is fuller, and the image is on its way. So the slots are gone over once a job. (Once a
/// task, at 1,300 machines, took all of a leader's processor.)
pub fn places(
    spec: &Spec,
    zones: &BTreeMap<Arc<str>, u32>,
    slots: &[Slot],
    tasks: u32,
    only: Option<&Arc<str>>,
) -> Vec<Place> {
    let mut left = tasks;
    let mut places = Vec::new();
    if left == 0 {
        return places;
    }
    let fits = |slot: &Slot| {
        spec.need.fits_in(slot.room)
            && only.is_none_or(|zone| slot.zone == *zone)
            && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
            && (spec.image_gb <= 0.0 || slot.is_soon(&spec.image))
    };
    let rank = |slot: &Slot| {
        let full = (slot.size - slot.room + spec.need).share_of(slot.size);
        // Ordinary machines are kept for jobs that may use no others.
        let dear = spec.spot && !slot.spot;
        // What stays for long stands together, or it keeps many machines half empty when the
        // work that ends has gone.
        let stays = slot.settled != Resources::default();
        let mixes = stays != (spec.kind == Kind::Service);
        (dear, slot.image_rank(&spec.image), mixes, Reverse(full))
    };
    let mut best: BinaryHeap<_> = slots
        .iter()
        .enumerate()
        .filter(|(_, slot)| fits(slot))
        .map(|(at, slot)| Reverse((rank(slot), at)))
        .collect();
    let mut zones = zones.clone();
    while left > 0
        && let Some(Reverse((_, at))) = best.pop()
    {
        let slot = &slots[at];
        let count = slot.takes(spec, &zones, left);
        if count > 0 {
            *zones.entry(slot.zone.clone()).or_insert(0) += count;
            places.push((at, count));
            left -= count;
        }
    }
    places
}

#[cfg(test)]
pub mod tests;
