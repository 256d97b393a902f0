//! Preemption: which running tasks to stop for a job that finds no room and for which no machines
//! can be rented.
//!
//! Work gives way to work of higher priority. Work that a team runs beyond its guarantee also gives
//! way, whatever its priority, to a job within another team's guarantee.

use super::constraints::{TasksByZone, add_tasks, zone_headroom};
use super::{Candidate, MachineSnapshot};
use crate::constants::MIN_RUN_BEFORE_PREEMPTION;
use crate::model::{Job, JobId, JobSpec, MachineId, Placement, Resources, TaskId, Timestamp};
use crate::wire::user::Priority;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A task that may be stopped for another job.
#[derive(Debug, Clone)]
pub struct PreemptibleTask<'a> {
    /// The task.
    pub task: TaskId,
    /// The machine that it is on.
    pub machine: MachineId,
    /// Its job.
    pub job: &'a Job,
    /// Whether its job is within its team's guarantee.
    pub within_guarantee: bool,
}

impl PreemptibleTask<'_> {
    /// Whether it may be stopped for `candidate`.
    fn can_be_preempted_by(&self, candidate: &Candidate<'_>) -> bool {
        let is_other_team = self.job.spec.team != candidate.job.spec.team;
        let exceeds_guarantee = !self.within_guarantee;
        let is_reclaimable = candidate.within_guarantee && exceeds_guarantee && is_other_team;
        self.job.priority() < candidate.job.priority() || is_reclaimable
    }

    fn cost(&self) -> PreemptionCost {
        PreemptionCost {
            priority: self.job.priority(),
            loses_progress: self.job.spec.checkpoint_interval.is_zero(),
            stopped_tasks: if self.job.is_gang() {
                self.job.placements.len()
            } else {
                1
            },
        }
    }
}

/// What it costs to stop a task. The order of fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    /// Priority of its job.
    priority: Priority,
    /// Whether the job writes no checkpoints.
    loses_progress: bool,
    /// Tasks that stop with it: those of a gang stop together.
    stopped_tasks: usize,
}

/// The tasks of open jobs that may be stopped for others, by job and index.
pub fn preemptible_tasks<'a>(
    jobs: impl Iterator<Item = (&'a JobId, &'a Job)>,
    is_within_guarantee: impl Fn(&JobId) -> bool,
    now: Timestamp,
) -> Vec<PreemptibleTask<'a>> {
    let mut tasks = Vec::new();
    for (id, job) in jobs.filter(|(_, job)| job.is_open()) {
        let within_guarantee = is_within_guarantee(id);
        for (index, placement) in &job.placements {
            if !is_preemptible(placement, now) {
                continue;
            }
            tasks.push(PreemptibleTask {
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
    tasks
}

/// Whether a task has run for a while: the start of one that has just begun would not count.
fn is_preemptible(placement: &Placement, now: Timestamp) -> bool {
    placement.stop_request.is_none() && now >= placement.stage_since + MIN_RUN_BEFORE_PREEMPTION
}

/// Chooses tasks to stop so that `tasks` tasks of the candidate fit; none if that is impossible.
/// For each of them, the machine is taken on which it costs least.
pub fn choose_victims(
    candidate: &Candidate<'_>,
    tasks: u32,
    snapshots: &[MachineSnapshot],
    running: &[PreemptibleTask<'_>],
) -> Vec<TaskId> {
    let spec = &candidate.job.spec;
    let mut placed = candidate.placed_by_zone.clone();
    let mut machines = preemptible_machines(candidate, snapshots, running);
    let mut victims = Vec::new();
    for _ in 0..tasks {
        let Some(choice) = cheapest_preemption(spec, &placed, &machines) else {
            return Vec::new();
        };
        let machine = &mut machines[choice.machine_index];
        machine.preempt_cheapest(choice.victims, &mut victims);
        machine.available = machine.available - spec.request;
        add_tasks(&mut placed, &machine.snapshot.zone, 1);
    }
    victims
}

/// A machine with the tasks on it that give way to a candidate.
struct PreemptibleMachine<'a> {
    snapshot: &'a MachineSnapshot,
    /// The most expensive first, so that the cheapest is popped.
    preemptible: Vec<&'a PreemptibleTask<'a>>,
    /// Resources that are available once the victims so far have stopped.
    available: Resources,
}

impl PreemptibleMachine<'_> {
    /// How many tasks, the cheapest first, have to stop for `request` to fit.
    fn victims_needed(&self, request: Resources) -> Option<usize> {
        let mut available = self.available;
        let mut count = 0;
        let mut cheapest_first = self.preemptible.iter().rev();
        while !request.fits_in(available) {
            available += cheapest_first.next()?.job.spec.request;
            count += 1;
        }
        Some(count)
    }

    /// The highest cost among the `count` cheapest tasks.
    fn max_cost(&self, count: usize) -> Option<PreemptionCost> {
        let cheapest = self.preemptible.iter().rev().take(count);
        cheapest.map(|task| task.cost()).max()
    }

    /// Moves the `count` cheapest tasks to the victims.
    fn preempt_cheapest(&mut self, count: usize, victims: &mut Vec<TaskId>) {
        for _ in 0..count {
            if let Some(victim) = self.preemptible.pop() {
                self.available += victim.job.spec.request;
                victims.push(victim.task.clone());
            }
        }
    }
}

/// All machines, in the order of `snapshots`, with the tasks that give way to the candidate.
fn preemptible_machines<'a>(
    candidate: &Candidate<'_>,
    snapshots: &'a [MachineSnapshot],
    running: &'a [PreemptibleTask<'_>],
) -> Vec<PreemptibleMachine<'a>> {
    let mut by_machine: BTreeMap<&MachineId, Vec<&PreemptibleTask<'_>>> = BTreeMap::new();
    for task in running
        .iter()
        .filter(|task| task.can_be_preempted_by(candidate))
    {
        by_machine.entry(&task.machine).or_default().push(task);
    }
    let mut machines = Vec::new();
    for snapshot in snapshots {
        let mut preemptible = by_machine.remove(&snapshot.id).unwrap_or_default();
        preemptible.sort_by_key(|task| Reverse(task.cost()));
        machines.push(PreemptibleMachine {
            snapshot,
            preemptible,
            available: snapshot.available,
        });
    }
    machines
}

/// A way to make room for one task. The order of fields is the order of comparison.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionChoice {
    /// The highest cost of a victim; `None` if no task has to stop.
    max_cost: Option<PreemptionCost>,
    /// Number of tasks to stop.
    victims: usize,
    /// Index of the machine.
    machine_index: usize,
}

/// The cheapest way to make room for one more task.
fn cheapest_preemption(
    spec: &JobSpec,
    placed: &TasksByZone,
    machines: &[PreemptibleMachine<'_>],
) -> Option<PreemptionChoice> {
    machines
        .iter()
        .enumerate()
        .filter(|(_, machine)| {
            machine.snapshot.is_eligible_for(spec)
                && zone_headroom(spec, placed, &machine.snapshot.zone) > 0
        })
        .filter_map(|(machine_index, machine)| {
            let victims = machine.victims_needed(spec.request)?;
            Some(PreemptionChoice {
                max_cost: machine.max_cost(victims),
                victims,
                machine_index,
            })
        })
        .min()
}

#[cfg(test)]
mod tests;
