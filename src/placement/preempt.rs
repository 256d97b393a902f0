//! Whom to stop for a job that finds no room and can't be helped by renting.
//!
//! Work gives way to work of higher priority; and work that a team runs beyond its guarantee
//! gives way, whatever its priority, to a job within another team's guarantee.

use super::{Candidate, MachineSnapshot, allowed, zone_room};
use crate::constants::MIN_RUN_BEFORE_PREEMPTION;
use crate::model::{Job, JobId, MachineId, Placement, Resources, TaskId, Timestamp};
use crate::wire::user::Priority;
use std::collections::BTreeMap;

/// A task that runs, as a possible victim.
#[derive(Debug, Clone)]
pub struct Victim<'a> {
    pub task: TaskId,
    pub machine: MachineId,
    pub job: &'a Job,
    /// Its job is within its team's guarantee.
    pub within_guarantee: bool,
}

/// Whether `victim` may be stopped for `job`.
fn gives_way(victim: &Victim<'_>, candidate: &Candidate<'_>) -> bool {
    let (theirs, ours) = (victim.job, candidate.job);
    let others = theirs.spec.team != ours.spec.team;
    let borrowed = candidate.within_guarantee && !victim.within_guarantee && others;
    theirs.priority() < ours.priority() || borrowed
}

/// What stopping a task costs: first the priority of the work, then what it loses.
fn loss(victim: &Victim<'_>) -> (Priority, bool, usize) {
    let saves = !victim.job.spec.checkpoint_interval.is_zero();
    let with_it = if victim.job.is_gang() {
        victim.job.placements.len()
    } else {
        1
    };
    (victim.job.priority(), !saves, with_it)
}

/// Tasks to stop so that `tasks` tasks of the candidate fit; none if that can't be had.
pub fn victims(
    candidate: &Candidate<'_>,
    tasks: u32,
    snapshots: &[MachineSnapshot],
    running: &[Victim<'_>],
) -> Vec<TaskId> {
    let spec = &candidate.job.spec;
    let mut by_machine: BTreeMap<&MachineId, Vec<&Victim<'_>>> = BTreeMap::new();
    for victim in running.iter().filter(|v| gives_way(v, candidate)) {
        by_machine.entry(&victim.machine).or_default().push(victim);
    }
    let mut zones = candidate.zones.clone();
    let mut stopped = Vec::new();
    let mut machines: Vec<(&MachineSnapshot, Vec<&Victim<'_>>, Resources)> = Vec::new();
    for snapshot in snapshots {
        let mut victims = by_machine.remove(&snapshot.id).unwrap_or_default();
        victims.sort_by_key(|v| std::cmp::Reverse(loss(v)));
        machines.push((snapshot, victims, snapshot.available));
    }
    for _ in 0..tasks {
        // The machine where the least is lost for one more task.
        let choice = machines
            .iter()
            .enumerate()
            .filter(|(_, (snapshot, _, _))| {
                allowed(spec, &snapshot.machine_type, &snapshot.zone, snapshot.spot)
                    && zone_room(spec, &zones, &snapshot.zone) > 0
            })
            .filter_map(|(at, (_, victims, room))| {
                let count = needed(spec.request, *room, victims)?;
                let dearest = victims.iter().rev().take(count).map(|v| loss(v)).max();
                Some(((dearest, count), at))
            })
            .min();
        let Some(((_, count), at)) = choice else {
            return Vec::new();
        };
        let (snapshot, victims, room) = &mut machines[at];
        for _ in 0..count {
            if let Some(victim) = victims.pop() {
                *room += victim.job.spec.request;
                stopped.push(victim.task.clone());
            }
        }
        *room = *room - spec.request;
        *zones.entry(snapshot.zone.clone()).or_insert(0) += 1;
    }
    stopped
}

/// How many of the victims, the cheapest (last) first, have to go for `need` to fit.
fn needed(request: Resources, mut room: Resources, victims: &[&Victim<'_>]) -> Option<usize> {
    let mut count = 0;
    let mut rest = victims.iter().rev();
    while !request.fits_in(room) {
        room += rest.next()?.job.spec.request;
        count += 1;
    }
    Some(count)
}

/// Jobs with their placed tasks as possible victims.
pub fn running<'a>(
    jobs: impl Iterator<Item = (&'a JobId, &'a Job)>,
    within_guarantee: impl Fn(&JobId) -> bool,
    now: Timestamp,
) -> Vec<Victim<'a>> {
    let mut victims = Vec::new();
    for (id, job) in jobs.filter(|(_, job)| job.is_open()) {
        let within_guarantee = within_guarantee(id);
        // A task that has just started has gained nothing yet and its start would not count.
        let settled = |p: &Placement| {
            p.stop_request.is_none() && now >= p.stage_since + MIN_RUN_BEFORE_PREEMPTION
        };
        for (index, placement) in job.placements.iter().filter(|(_, p)| settled(p)) {
            victims.push(Victim {
                task: TaskId {
                    job: id.clone(),
                    index: *index,
                },
                machine: placement.machine.clone(),
                job,
                within_guarantee,
            });
        }
    }
    victims
}

#[cfg(test)]
mod tests;
