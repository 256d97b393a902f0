//! From the model to a round: pure functions.
//!
//! Jobs are taken by priority, then those within their team's guarantee, then by deadline.
//! Each task goes to the fitting machine that is left fullest, within the rules on types,
//! zones and kinds of machine and the team's limit.

pub mod preempt;

use crate::model::{Job, JobId, MachineId, Resources, Spec};
use crate::settings::Limit;
use crate::wire::user::Kind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A machine, real or expected, with its room.
#[derive(Debug, Clone)]
pub struct Slot {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub size: Resources,
    pub room: Resources,
    /// What tasks hold that don't end by themselves (services).
    pub settled: Resources,
    /// Images that it has.
    pub images: Vec<Arc<str>>,
    /// Images that it is fetching, or will with the starts it was given, and their GB.
    pub fetching: Vec<(Arc<str>, f64)>,
    /// GB that it fetches in the time in which another machine of its type boots.
    pub boot_gb: f64,
}

impl Slot {
    /// Takes the room of one task.
    pub fn take(&mut self, spec: &Spec) {
        self.room = self.room - spec.need;
        if spec.kind == Kind::Service {
            self.settled += spec.need;
        }
        if !self.images.contains(&spec.image) && !self.fetches(&spec.image) {
            self.fetching.push((spec.image.clone(), spec.image_gb));
        }
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

    /// Takes `need` for the team if its limit allows.
    fn take(&mut self, team: &Arc<str>, need: Resources) -> bool {
        let used = self.used(team) + need;
        let allowed = self.limits.get(team).is_some_and(|limit| limit.holds(used));
        if allowed {
            self.used.insert(team.clone(), used);
        }
        allowed
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
    pub starts: Vec<Start>,
    pub unplaced: Vec<Unplaced>,
}

/// Orders jobs: who is served first. Those that have waited too long come before all others, in the
/// order in which they were submitted: by priority, a lasting backlog of urgent work would keep the
/// rest waiting for ever.
pub fn order(candidates: &mut [Candidate<'_>]) {
    candidates.sort_by(|a, b| {
        let key = |c: &Candidate<'_>| match c.aged {
            true => (c.aged, None, std::cmp::Reverse(c.job.submitted)),
            false => {
                let rank = Some((c.job.spec.priority, c.guaranteed));
                (c.aged, rank, std::cmp::Reverse(c.job.due()))
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

/// Whether one more task may be in `zone`, given the job's tasks by zone.
pub fn zone_allows(spec: &Spec, zones: &BTreeMap<Arc<str>, u32>, zone: &Arc<str>) -> bool {
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    !(spec.one_zone && elsewhere) && here < spec.zone_most()
}

/// Plans a round of at most `most` starts; changes `slots` and `teams` to what is left.
pub fn plan(
    candidates: &[Candidate<'_>],
    slots: &mut [Slot],
    teams: &mut Teams,
    most: usize,
) -> Plan {
    let mut plan = Plan::default();
    for candidate in candidates {
        let Candidate { id, job, zones, .. } = candidate;
        let left = most.saturating_sub(plan.starts.len());
        if job.spec.kind == Kind::Gang {
            let placed = plan_gang(id, job, slots, teams, left, &mut plan);
            if !placed && candidate.aged {
                hold_back(&job.spec, slots);
            }
        } else {
            plan_tasks(id, job, zones.clone(), slots, teams, left, &mut plan);
        }
    }
    plan
}

fn plan_tasks(
    id: &JobId,
    job: &Job,
    mut zones: BTreeMap<Arc<str>, u32>,
    slots: &mut [Slot],
    teams: &mut Teams,
    left: usize,
    plan: &mut Plan,
) {
    let spec = &job.spec;
    let mut placed = 0;
    let mut unplaced = 0;
    for index in job.pending.iter() {
        if !teams.take(&spec.team, spec.need) {
            break;
        }
        // One that finds no room means that none of the job's later ones does: they are alike.
        let slot = if unplaced > 0 || placed >= left {
            None
        } else {
            best(spec, &zones, slots)
        };
        match slot {
            Some(at) => {
                slots[at].take(spec);
                *zones.entry(slots[at].zone.clone()).or_insert(0) += 1;
                plan.starts.push(Start {
                    job: id.clone(),
                    index,
                    machine: slots[at].id.clone(),
                });
                placed += 1;
            }
            None => unplaced += 1,
        }
        // No need to know by how much a huge array exceeds any fleet.
        if unplaced >= crate::constants::UNPLACED_MOST {
            break;
        }
    }
    if unplaced > 0 {
        teams.give_back(&spec.team, spec.need.times(u64::from(unplaced)));
        plan.unplaced.push(Unplaced {
            job: id.clone(),
            tasks: unplaced,
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
            left = left.saturating_sub(fits);
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

/// All tasks of a gang or none; whether they were placed.
fn plan_gang(
    id: &JobId,
    job: &Job,
    slots: &mut [Slot],
    teams: &mut Teams,
    left: usize,
    plan: &mut Plan,
) -> bool {
    let spec = &job.spec;
    if !teams.take(&spec.team, spec.whole()) {
        // Its team's own work is in the way, not a lack of room.
        return true;
    }
    let tasks = spec.tasks as usize;
    let places = if tasks > left {
        None
    } else {
        gang_places(spec, slots)
    };
    match places {
        Some(places) => {
            for (index, at) in (0..).zip(places) {
                slots[at].take(spec);
                plan.starts.push(Start {
                    job: id.clone(),
                    index,
                    machine: slots[at].id.clone(),
                });
            }
            true
        }
        None => {
            teams.give_back(&spec.team, spec.whole());
            plan.unplaced.push(Unplaced {
                job: id.clone(),
                tasks: spec.tasks,
            });
            false
        }
    }
}

/// Places for all tasks of a gang, in one zone if it asks for that.
fn gang_places(spec: &Spec, slots: &[Slot]) -> Option<Vec<usize>> {
    let try_in = |only: Option<&Arc<str>>| -> Option<Vec<usize>> {
        let mut rooms: Vec<Slot> = slots.to_vec();
        let mut zones = BTreeMap::new();
        let mut places = Vec::new();
        if let Some(zone) = only {
            for slot in &mut rooms {
                if slot.zone != *zone {
                    slot.room = Resources::default();
                }
            }
        }
        for _ in 0..spec.tasks {
            let at = best(spec, &zones, &rooms)?;
            rooms[at].take(spec);
            *zones.entry(rooms[at].zone.clone()).or_insert(0) += 1;
            places.push(at);
        }
        Some(places)
    };
    if !spec.one_zone {
        return try_in(None);
    }
    zones(slots)
        .into_iter()
        .filter_map(|zone| try_in(Some(zone)))
        .min_by_key(|places| {
            let left: u64 = places
                .iter()
                .map(|at| {
                    1000 - (slots[*at].size - slots[*at].room)
                        .share_of(slots[*at].size)
                        .min(1000)
                })
                .sum();
            left
        })
}

/// The fitting slot that is left fullest, among those where the image is soonest there: an
/// exception to plain fullest fit, since a fetch takes longer than many aims allow and fetches
/// on one machine share its rate.
pub fn best(spec: &Spec, zones: &BTreeMap<Arc<str>, u32>, slots: &[Slot]) -> Option<usize> {
    slots
        .iter()
        .enumerate()
        .filter(|(_, slot)| {
            spec.need.fits_in(slot.room)
                && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                && zone_allows(spec, zones, &slot.zone)
                && slot.is_soon(&spec.image)
        })
        .min_by_key(|(at, slot)| {
            let full = (slot.size - slot.room + spec.need).share_of(slot.size);
            // Ordinary machines are kept for jobs that may use no others.
            let dear = spec.spot && !slot.spot;
            // What stays for long stands together, or it keeps many machines half empty when the
            // work that ends has gone.
            let stays = slot.settled != Resources::default();
            let mixes = stays != (spec.kind == Kind::Service);
            (
                dear,
                slot.image_rank(&spec.image),
                mixes,
                std::cmp::Reverse(full),
                *at,
            )
        })
        .map(|(at, _)| at)
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::model::Phase;
    use crate::wire::user::tests::job as wire_job;

    pub fn slot(id: &str, zone: &str, gpus: f64) -> Slot {
        let size = Resources::capacity(64.0, gpus, 512.0);
        Slot {
            id: id.into(),
            machine_type: "g8".into(),
            zone: zone.into(),
            spot: false,
            size,
            room: size,
            settled: Resources::default(),
            images: Vec::new(),
            fetching: Vec::new(),
            boot_gb: 10.0,
        }
    }

    fn job(kind: Kind, tasks: u64, change: impl Fn(&mut crate::wire::user::Job)) -> Job {
        let mut wire = wire_job("run-1", kind, tasks);
        change(&mut wire);
        Job::new(Spec::read(&wire), 1, 0, Phase::Open, 0)
    }

    fn run(job: &Job, slots: &mut [Slot], gpus_max: Option<u64>) -> Plan {
        let mut teams = Teams::default();
        teams.limits.insert(
            "vision".into(),
            Limit {
                cpus: None,
                gpus: gpus_max,
            },
        );
        let id = JobId::from("run-1");
        let candidate = Candidate {
            id: &id,
            job,
            guaranteed: true,
            aged: false,
            zones: BTreeMap::new(),
        };
        plan(&[candidate], slots, &mut teams, 100)
    }

    #[test]
    fn tasks_fill_the_fullest_machine_first() {
        let mut slots = [slot("a", "east", 8.0), slot("b", "east", 8.0)];
        slots[1].room.gpus = 2000;
        let plan = run(&job(Kind::Array, 3, |_| {}), &mut slots, None);
        let on: Vec<&str> = plan.starts.iter().map(|s| &*s.machine.0).collect();
        assert_eq!(on, ["b", "b", "a"]);
    }

    #[test]
    fn images_on_the_machine_count_before_fullness() {
        let mut slots = [
            slot("a", "east", 8.0),
            slot("b", "east", 8.0),
            slot("c", "east", 8.0),
        ];
        slots[0].room.gpus = 2000;
        slots[0].fetching.push(("img-9".into(), 5.0));
        slots[1].images.push("img-1".into());
        slots[1].room.gpus = 1000;
        let plan = run(&job(Kind::Array, 3, |_| {}), &mut slots, None);
        let on: Vec<&str> = plan.starts.iter().map(|s| &*s.machine.0).collect();
        assert_eq!(
            on,
            ["b", "c", "c"],
            "the machine that has it, then one that fetches it alone"
        );
    }

    #[test]
    fn team_limits_bound_starts_and_demand() {
        let mut slots = [slot("a", "east", 8.0)];
        let plan = run(&job(Kind::Array, 100, |_| {}), &mut slots, Some(3000));
        assert_eq!((plan.starts.len(), plan.unplaced.len()), (3, 0));
        let mut slots = [slot("a", "east", 2.0)];
        let plan = run(&job(Kind::Array, 100, |_| {}), &mut slots, Some(3000));
        assert_eq!((plan.starts.len(), plan.unplaced[0].tasks), (2, 1));
    }

    #[test]
    fn gangs_are_placed_whole_and_in_one_zone_if_asked() {
        let mut slots = [slot("a", "east", 2.0), slot("b", "west", 2.0)];
        let gang = job(Kind::Gang, 3, |j| j.one_zone = true);
        let plan = run(&gang, &mut slots, None);
        assert!(plan.starts.is_empty() && plan.unplaced[0].tasks == 3);
        assert_eq!(
            slots[0].room.gpus, 2000,
            "nothing is held for a gang that does not fit"
        );
        let plan = run(&job(Kind::Gang, 3, |_| {}), &mut slots, None);
        assert_eq!(plan.starts.len(), 3);
    }

    #[test]
    fn earlier_deadlines_are_served_first_within_a_priority() {
        let with = |due| job(Kind::Array, 1, move |j| j.deadline_s = due);
        let mut urgent = with(None);
        urgent.spec.priority = crate::wire::user::Priority::High;
        let jobs = [with(None), with(Some(90.0)), with(Some(30.0)), urgent];
        let ids = ["run-1", "run-2", "run-3", "run-4"].map(JobId::from);
        let mut candidates: Vec<Candidate<'_>> = ids
            .iter()
            .zip(&jobs)
            .map(|(id, job)| Candidate {
                id,
                job,
                guaranteed: false,
                aged: false,
                zones: BTreeMap::new(),
            })
            .collect();
        order(&mut candidates);
        let order: Vec<&str> = candidates.iter().map(|c| &*c.id.0).collect();
        assert_eq!(order, ["run-4", "run-3", "run-2", "run-1"]);
    }

    #[test]
    fn zones_types_and_kinds_are_kept() {
        let mut slots = [slot("a", "east", 9.0), slot("b", "west", 9.0)];
        let plan = run(
            &job(Kind::Service, 5, |j| j.spread = true),
            &mut slots,
            None,
        );
        let east = plan.starts.iter().filter(|s| &*s.machine.0 == "a").count();
        assert_eq!((plan.starts.len(), east), (5, 3));
        let mut slots = [slot("a", "east", 8.0)];
        slots[0].spot = true;
        assert!(
            run(&job(Kind::Array, 1, |_| {}), &mut slots, None)
                .starts
                .is_empty()
        );
        assert_eq!(
            run(&job(Kind::Array, 1, |j| j.spot = true), &mut slots, None)
                .starts
                .len(),
            1
        );
        let mut slots = [slot("a", "east", 8.0)];
        let other = job(Kind::Array, 1, |j| j.types = Some(vec!["cpu".into()]));
        assert!(run(&other, &mut slots, None).starts.is_empty());
        let west = job(Kind::Array, 1, |j| j.zone = Some("west".into()));
        assert!(run(&west, &mut slots, None).starts.is_empty());
    }
}
