//! From the model to a round: pure functions.
//!
//! Jobs are taken by priority, then those within their team's guarantee, then by deadline.
//! Each task goes to the fitting machine that is left fullest, within the rules on types,
//! zones and kinds of machine and the team's limit.

pub mod consolidation;
pub mod preempt;

use crate::constants::{MAX_TASKS_PER_MACHINE, MAX_UNPLACED_TASKS};
use crate::model::{Job, JobId, JobSpec, MachineId, Resources};
use crate::settings::Limit;
use crate::wire::user::JobKind;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

/// A machine, real or expected, with its room.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSnapshot {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub capacity: Resources,
    pub available: Resources,
    /// How many more tasks its reports have room for.
    pub free_task_slots: u32,
    /// What tasks hold that don't end by themselves (services).
    pub long_running: Resources,
    /// Images that it has.
    pub images: Vec<Arc<str>>,
    /// Images that it is fetching, or will with the starts it was given, and what GB are left.
    pub fetching: Vec<(Arc<str>, f64)>,
    /// GB that it fetches in the time in which another machine of its type boots.
    pub boot_gb: f64,
}

impl MachineSnapshot {
    /// Takes the room of `count` tasks.
    pub fn allocate(&mut self, spec: &JobSpec, count: u32) {
        let request = spec.request.times(u64::from(count));
        self.available = self.available - request;
        self.free_task_slots = self.free_task_slots.saturating_sub(count);
        if spec.kind == JobKind::Service {
            self.long_running += request;
        }
        let there = spec.image_gb <= 0.0 || self.images.contains(&spec.image);
        if !there && !self.fetches(&spec.image) {
            self.fetching.push((spec.image.clone(), spec.image_gb));
        }
    }

    /// How many of `most` more tasks go here, given the job's tasks by zone.
    pub fn max_tasks(&self, spec: &JobSpec, zones: &BTreeMap<Arc<str>, u32>, most: u32) -> u32 {
        most.min(self.available.max_multiple(spec.request))
            .min(self.free_task_slots)
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
    pub within_guarantee: bool,
    /// Has waited so long that it goes first, and that room is held back for it.
    pub starving: bool,
    /// Its placed tasks by zone.
    pub zones: BTreeMap<Arc<str>, u32>,
}

/// What each team uses and may use.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage {
    pub used: BTreeMap<Arc<str>, Resources>,
    pub limits: BTreeMap<Arc<str>, Limit>,
}

impl QuotaUsage {
    fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Takes `need` for the team up to `most` times, as its limit allows; how often it did.
    fn take(&mut self, team: &Arc<str>, request: Resources, most: u32) -> u32 {
        let used = self.used(team);
        let left = self.limits.get(team).map(|limit| limit.remaining(used));
        let times = left.map_or(0, |left| left.max_multiple(request).min(most));
        if times > 0 {
            self.used
                .insert(team.clone(), used + request.times(u64::from(times)));
        }
        times
    }

    fn give_back(&mut self, team: &Arc<str>, request: Resources) {
        let used = self.used(team) - request;
        self.used.insert(team.clone(), used);
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
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
pub struct RoundPlan {
    /// Starts of a round that one transaction writes.
    pub starts: Vec<TaskStart>,
    /// Starts of one gang that is larger than that: a round of its own.
    pub large_gang: Vec<TaskStart>,
    pub unplaced: Vec<Unplaced>,
}

/// Takes the room for a job's next tasks at their places; their starts.
fn starts_at(
    id: &JobId,
    spec: &JobSpec,
    mut indices: impl Iterator<Item = u32>,
    places: &[Assignment],
    snapshots: &mut [MachineSnapshot],
) -> Vec<TaskStart> {
    let mut starts = Vec::new();
    for (at, count) in places {
        let snapshot = &mut snapshots[*at];
        snapshot.allocate(spec, *count);
        for index in indices.by_ref().take(*count as usize) {
            starts.push(TaskStart {
                job: id.clone(),
                index,
                machine: snapshot.id.clone(),
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
        let key = |c: &Candidate<'_>| match c.starving {
            true => (c.starving, None, Reverse(c.job.ready_at)),
            false => {
                let rank = Some((c.job.priority(), c.within_guarantee));
                (c.starving, rank, Reverse(c.job.deadline()))
            }
        };
        key(b).cmp(&key(a)).then_with(|| a.id.cmp(b.id))
    });
}

/// Whether the job may use this machine's type, zone and kind at all.
pub fn allowed(spec: &JobSpec, machine_type: &Arc<str>, zone: &Arc<str>, spot: bool) -> bool {
    (!spot || spec.allows_spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.contains(machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// How many more tasks may be in `zone`, given the job's tasks by zone.
pub fn zone_room(spec: &JobSpec, zones: &BTreeMap<Arc<str>, u32>, zone: &Arc<str>) -> u32 {
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    match spec.single_zone && elsewhere {
        true => 0,
        false => spec.max_tasks_per_zone().saturating_sub(here),
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
    snapshots: &mut Vec<MachineSnapshot>,
    quotas: &mut QuotaUsage,
    bounds: Bounds,
) -> RoundPlan {
    let mut plan = RoundPlan::default();
    let open = with_room_first(snapshots, candidates.iter().map(|c| c.job.spec.request));
    let mut jobs = 0;
    for candidate in candidates {
        let Candidate { id, job, zones, .. } = candidate;
        let before = plan.starts.len();
        // A full round is no end: what else waits for room has to be known for renting.
        let left = match jobs < bounds.jobs {
            true => bounds.starts.saturating_sub(before),
            false => 0,
        };
        if job.spec.kind == JobKind::Gang {
            let large = job.spec.tasks as usize > bounds.starts;
            let left = match large {
                true if bounds.large_gang && plan.large_gang.is_empty() => usize::MAX,
                true => 0,
                false => left,
            };
            let fits = plan_gang(id, job, &mut snapshots[..open], quotas, left, &mut plan);
            if large {
                plan.large_gang.extend(plan.starts.drain(before..));
            }
            if !fits && candidate.starving {
                hold_back(&job.spec, snapshots);
            }
        } else {
            plan_tasks(
                id,
                job,
                zones,
                &mut snapshots[..open],
                quotas,
                left,
                &mut plan,
            );
        }
        jobs += usize::from(plan.starts.len() > before);
    }
    plan
}

/// The least room of machines that a round can use: those in which no candidate's task fits are left
/// out, unless room is held back for a gang, for which full machines count as well.
pub fn least_room(candidates: &[Candidate<'_>]) -> Resources {
    let holds_back = |c: &Candidate<'_>| c.starving && c.job.spec.kind == JobKind::Gang;
    if candidates.iter().any(holds_back) {
        return Resources::default();
    }
    let requests = candidates.iter().map(|c| c.job.spec.request);
    requests
        .reduce(Resources::component_min)
        .unwrap_or_default()
}

/// Brings the slots in which the least of `needs` has room to the front; how many they are. The
/// others, most of a busy fleet, need not be looked at for each job.
fn with_room_first(
    snapshots: &mut Vec<MachineSnapshot>,
    requests: impl Iterator<Item = Resources>,
) -> usize {
    let Some(least) = requests.reduce(Resources::component_min) else {
        return 0;
    };
    let (open, full): (Vec<MachineSnapshot>, Vec<MachineSnapshot>) = std::mem::take(snapshots)
        .into_iter()
        .partition(|snapshot| least.fits_in(snapshot.available));
    let count = open.len();
    snapshots.extend(open);
    snapshots.extend(full);
    count
}

fn plan_tasks(
    id: &JobId,
    job: &Job,
    zones: &BTreeMap<Arc<str>, u32>,
    snapshots: &mut [MachineSnapshot],
    quotas: &mut QuotaUsage,
    left: usize,
    plan: &mut RoundPlan,
) {
    let spec = &job.spec;
    let left = left.min(u32::MAX as usize) as u32;
    // No need to know by how much a huge array exceeds any fleet.
    let waiting = job.pending.len() as u32;
    let most = waiting.min(left.saturating_add(MAX_UNPLACED_TASKS));
    let wanted = quotas.take(&spec.team, spec.request, most);
    let places = places(spec, zones, snapshots, wanted.min(left), None);
    let unplaced = wanted - tasks_of(&places);
    let starts = starts_at(id, spec, job.pending.iter(), &places, snapshots);
    plan.starts.extend(starts);
    if unplaced > 0 {
        quotas.give_back(&spec.team, spec.request.times(u64::from(unplaced)));
        plan.unplaced.push(Unplaced {
            job: id.clone(),
            tasks: unplaced.min(MAX_UNPLACED_TASKS),
        });
    }
}

/// The zones with machines in them.
fn zones(snapshots: &[MachineSnapshot]) -> BTreeSet<&Arc<str>> {
    snapshots.iter().map(|s| &s.zone).collect()
}

/// Sets room aside for a gang that has waited too long: nothing that comes after it in the order
/// starts on the machines of the zone that are nearest to having room for all of it. (Smaller
/// work took each machine as it came free, and a gang of many whole machines never began.)
fn hold_back(spec: &JobSpec, snapshots: &mut [MachineSnapshot]) {
    let choice = |only: Option<&Arc<str>>| {
        let mut fitting: Vec<(Resources, usize)> = snapshots
            .iter()
            .enumerate()
            .filter(|(_, snapshot)| {
                only.is_none_or(|zone| snapshot.zone == *zone)
                    && allowed(spec, &snapshot.machine_type, &snapshot.zone, snapshot.spot)
                    && spec
                        .request
                        .fits_in(snapshot.capacity - snapshot.long_running)
            })
            .map(|(at, snapshot)| {
                (
                    snapshot.capacity - snapshot.long_running - snapshot.available,
                    at,
                )
            })
            .collect();
        // Those with the least to end first.
        fitting.sort_by_key(|(ending, at)| (ending.permille_of(snapshots[*at].capacity), *at));
        let mut left = spec.tasks;
        let (mut held, mut ending) = (Vec::new(), 0);
        for (still, at) in fitting {
            if left == 0 {
                break;
            }
            let fits =
                (snapshots[at].capacity - snapshots[at].long_running).max_multiple(spec.request);
            left = left.saturating_sub(fits.min(MAX_TASKS_PER_MACHINE));
            ending += still.permille_of(snapshots[at].capacity);
            held.push(at);
        }
        (left == 0).then_some((ending, held))
    };
    let best = match spec.single_zone {
        true => zones(snapshots)
            .into_iter()
            .filter_map(|zone| choice(Some(zone)))
            .min_by_key(|(ending, _)| *ending),
        false => choice(None),
    };
    for at in best.into_iter().flat_map(|(_, held)| held) {
        snapshots[at].available = Resources::default();
    }
}

/// All tasks of a gang or none; false if it is room that it lacks.
fn plan_gang(
    id: &JobId,
    job: &Job,
    snapshots: &mut [MachineSnapshot],
    quotas: &mut QuotaUsage,
    left: usize,
    plan: &mut RoundPlan,
) -> bool {
    let spec = &job.spec;
    if quotas.take(&spec.team, spec.total_request(), 1) == 0 {
        // Its team's own work is in the way, not a lack of room.
        return true;
    }
    let full = spec.tasks as usize > left;
    let places = match full {
        true => None,
        false => gang_places(spec, snapshots),
    };
    let Some(places) = places else {
        quotas.give_back(&spec.team, spec.total_request());
        plan.unplaced.push(Unplaced {
            job: id.clone(),
            tasks: spec.tasks,
        });
        return full;
    };
    plan.starts
        .extend(starts_at(id, spec, 0..spec.tasks, &places, snapshots));
    true
}

/// Places for all tasks of a gang, in one zone if it asks for that.
fn gang_places(spec: &JobSpec, snapshots: &[MachineSnapshot]) -> Option<Vec<Assignment>> {
    let none = BTreeMap::new();
    let try_in = |only| {
        let places = places(spec, &none, snapshots, spec.tasks, only);
        (tasks_of(&places) == spec.tasks).then_some(places)
    };
    if !spec.single_zone {
        return try_in(None);
    }
    let emptiness = |places: &Vec<Assignment>| -> u64 {
        let of = |(at, count): &Assignment| {
            let snapshot = &snapshots[*at];
            (1000
                - (snapshot.capacity - snapshot.available)
                    .permille_of(snapshot.capacity)
                    .min(1000))
                * u64::from(*count)
        };
        places.iter().map(of).sum()
    };
    zones(snapshots)
        .into_iter()
        .filter_map(|zone| try_in(Some(zone)))
        .min_by_key(emptiness)
}

/// A slot by its position, and how many tasks go there.
pub type Assignment = (usize, u32);

pub fn tasks_of(places: &[Assignment]) -> u32 {
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
    spec: &JobSpec,
    zones: &BTreeMap<Arc<str>, u32>,
    snapshots: &[MachineSnapshot],
    tasks: u32,
    only: Option<&Arc<str>>,
) -> Vec<Assignment> {
    let mut left = tasks;
    let mut places = Vec::new();
    if left == 0 {
        return places;
    }
    let fits = |snapshot: &MachineSnapshot| {
        spec.request.fits_in(snapshot.available)
            && only.is_none_or(|zone| snapshot.zone == *zone)
            && allowed(spec, &snapshot.machine_type, &snapshot.zone, snapshot.spot)
            && (spec.image_gb <= 0.0 || snapshot.is_soon(&spec.image))
    };
    let rank = |snapshot: &MachineSnapshot| {
        let full =
            (snapshot.capacity - snapshot.available + spec.request).permille_of(snapshot.capacity);
        // Ordinary machines are kept for jobs that may use no others.
        let dear = spec.allows_spot && !snapshot.spot;
        // What stays for long stands together, or it keeps many machines half empty when the
        // work that ends has gone.
        let stays = snapshot.long_running != Resources::default();
        let mixes = stays != (spec.kind == JobKind::Service);
        (dear, snapshot.image_rank(&spec.image), mixes, Reverse(full))
    };
    let mut best: BinaryHeap<_> = snapshots
        .iter()
        .enumerate()
        .filter(|(_, snapshot)| fits(snapshot))
        .map(|(at, snapshot)| Reverse((rank(snapshot), at)))
        .collect();
    let mut zones = zones.clone();
    while left > 0
        && let Some(Reverse((_, at))) = best.pop()
    {
        let snapshot = &snapshots[at];
        let count = snapshot.max_tasks(spec, &zones, left);
        if count > 0 {
            *zones.entry(snapshot.zone.clone()).or_insert(0) += count;
            places.push((at, count));
            left -= count;
        }
    }
    places
}

#[cfg(test)]
pub mod tests;
