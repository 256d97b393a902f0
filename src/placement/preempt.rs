//! Whom to stop for a job that finds no room and can't be helped by renting.
//!
//! Work gives way to work of higher priority; and work that a team runs beyond its guarantee
//! gives way, whatever its priority, to a job within another team's guarantee.

use super::{Candidate, Slot, allowed, zone_room};
use crate::constants::SETTLED_MS;
use crate::model::{Job, JobId, MachineId, Ms, Placement, Resources, TaskId};
use crate::wire::user::Priority;
use std::collections::BTreeMap;

/// A task that runs, as a possible victim.
#[derive(Debug, Clone)]
pub struct Victim<'a> {
    pub task: TaskId,
    pub machine: MachineId,
    pub job: &'a Job,
    /// Its job is within its team's guarantee.
    pub guaranteed: bool,
}

/// Whether `victim` may be stopped for `job`.
fn gives_way(victim: &Victim<'_>, candidate: &Candidate<'_>) -> bool {
    let (theirs, ours) = (&victim.job.spec, &candidate.job.spec);
    let borrowed = candidate.guaranteed && !victim.guaranteed && theirs.team != ours.team;
    theirs.priority < ours.priority || borrowed
}

/// What stopping a task costs: first the priority of the work, then what it loses.
fn loss(victim: &Victim<'_>) -> (Priority, bool, usize) {
    let saves = victim.job.spec.checkpoint_ms > 0;
    let with_it = if victim.job.is_gang() {
        victim.job.live.len()
    } else {
        1
    };
    (victim.job.spec.priority, !saves, with_it)
}

/// Tasks to stop so that `tasks` tasks of the candidate fit; none if that can't be had.
pub fn victims(
    candidate: &Candidate<'_>,
    tasks: u32,
    slots: &[Slot],
    running: &[Victim<'_>],
) -> Vec<TaskId> {
    let spec = &candidate.job.spec;
    let mut by_machine: BTreeMap<&MachineId, Vec<&Victim<'_>>> = BTreeMap::new();
    for victim in running.iter().filter(|v| gives_way(v, candidate)) {
        by_machine.entry(&victim.machine).or_default().push(victim);
    }
    let mut zones = candidate.zones.clone();
    let mut stopped = Vec::new();
    let mut machines: Vec<(&Slot, Vec<&Victim<'_>>, Resources)> = Vec::new();
    for slot in slots {
        let mut victims = by_machine.remove(&slot.id).unwrap_or_default();
        victims.sort_by_key(|v| std::cmp::Reverse(loss(v)));
        machines.push((slot, victims, slot.room));
    }
    for _ in 0..tasks {
        // The machine where the least is lost for one more task.
        let choice = machines
            .iter()
            .enumerate()
            .filter(|(_, (slot, _, _))| {
                allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && zone_room(spec, &zones, &slot.zone) > 0
            })
            .filter_map(|(at, (_, victims, room))| {
                let count = needed(spec.need, *room, victims)?;
                let dearest = victims.iter().rev().take(count).map(|v| loss(v)).max();
                Some(((dearest, count), at))
            })
            .min();
        let Some(((_, count), at)) = choice else {
            return Vec::new();
        };
        let (slot, victims, room) = &mut machines[at];
        for _ in 0..count {
            if let Some(victim) = victims.pop() {
                *room += victim.job.spec.need;
                stopped.push(victim.task.clone());
            }
        }
        *room = *room - spec.need;
        *zones.entry(slot.zone.clone()).or_insert(0) += 1;
    }
    stopped
}

/// How many of the victims, the cheapest (last) first, have to go for `need` to fit.
fn needed(need: Resources, mut room: Resources, victims: &[&Victim<'_>]) -> Option<usize> {
    let mut count = 0;
    let mut rest = victims.iter().rev();
    while !need.fits_in(room) {
        room += rest.next()?.job.spec.need;
        count += 1;
    }
    Some(count)
}

/// Jobs with their placed tasks as possible victims.
pub fn running<'a>(
    jobs: impl Iterator<Item = (&'a JobId, &'a Job)>,
    guaranteed: impl Fn(&JobId) -> bool,
    now: Ms,
) -> Vec<Victim<'a>> {
    let mut victims = Vec::new();
    for (id, job) in jobs.filter(|(_, job)| job.is_open()) {
        let guaranteed = guaranteed(id);
        // A task that has just started has gained nothing yet and its start would not count.
        let settled = |p: &Placement| p.stop.is_none() && now >= p.since + SETTLED_MS;
        for (index, placement) in job.live.iter().filter(|(_, p)| settled(p)) {
            victims.push(Victim {
                task: TaskId {
                    job: id.clone(),
                    index: *index,
                },
                machine: placement.machine.clone(),
                job,
                guaranteed,
            });
        }
    }
    victims
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::{Phase, Spec, Stage};
    use crate::wire::user::{Kind, tests::job as wire_job};
    use crate::wire::worker::TaskState;

    fn job(team: &str, priority: Priority, on: &[&str]) -> Job {
        let mut wire = wire_job("run-1", Kind::Array, 4);
        wire.team = team.into();
        wire.priority = priority;
        wire.gpus = 2.0;
        let mut job = Job::new(Spec::read(&wire), 1, 0, Phase::Open, 0);
        for (index, machine) in (0..).zip(on) {
            let placement = Placement {
                machine: (*machine).into(),
                attempt: 1,
                stage: Stage::Up(TaskState::Running),
                since: 0,
                stop: None,
            };
            job.live.insert(index, placement);
        }
        job
    }

    fn stopped(ours: &Job, guaranteed: bool, theirs: &[(&str, &Job, bool)]) -> Vec<String> {
        let mut slots = ["a", "b"].map(|id| crate::placement::tests::slot(id, "east", 4.0));
        let ids: Vec<JobId> = theirs.iter().map(|(id, ..)| (*id).into()).collect();
        for (_, job, _) in theirs {
            for placement in job.live.values() {
                let slot = slots
                    .iter_mut()
                    .find(|s| s.id == placement.machine)
                    .unwrap();
                slot.room = slot.room - job.spec.need;
            }
        }
        let jobs = ids.iter().zip(theirs.iter().map(|(_, job, _)| *job));
        let within = |id: &JobId| theirs.iter().any(|(name, _, g)| *g && *name == &*id.0);
        let running = running(jobs, within, SETTLED_MS);
        let id = JobId::from("run-0");
        let candidate = Candidate {
            id: &id,
            job: ours,
            guaranteed,
            aged: false,
            zones: BTreeMap::new(),
        };
        victims(&candidate, 1, &slots, &running)
            .iter()
            .map(ToString::to_string)
            .collect()
    }

    #[test]
    fn lower_priority_gives_way_and_equal_does_not() {
        let ours = job("x", Priority::High, &[]);
        let low = job("x", Priority::Low, &["a", "b"]);
        let normal = job("x", Priority::Normal, &["a", "b"]);
        assert_eq!(
            stopped(
                &ours,
                false,
                &[("run-8", &normal, false), ("run-9", &low, false)]
            ),
            ["run-9/0"]
        );
        let same = job("x", Priority::High, &["a", "a", "b", "b"]);
        assert!(stopped(&ours, false, &[("run-9", &same, false)]).is_empty());
    }

    #[test]
    fn borrowed_room_is_given_back_whatever_its_priority() {
        let ours = job("x", Priority::Normal, &[]);
        let theirs = job("y", Priority::Production, &["a", "a", "b", "b"]);
        assert_eq!(stopped(&ours, true, &[("run-9", &theirs, false)]).len(), 1);
        assert!(
            stopped(&ours, true, &[("run-9", &theirs, true)]).is_empty(),
            "their guarantee"
        );
        assert!(stopped(&ours, false, &[("run-9", &theirs, false)]).is_empty());
    }
}
