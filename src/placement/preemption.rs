//! Preemption: chooses running tasks to stop for a job that does not fit on any machine and for
//! which no machines can be rented.
//!
//! A task can be preempted for a job of higher priority. A task that its team runs beyond its
//! guarantee can also be preempted, whatever its priority, for a job within another team's
//! guarantee.

use super::constraints::{TasksByZone, add_tasks, zone_headroom};
use super::{Candidate, MachineSnapshot};
use crate::constants::MIN_RUN_BEFORE_PREEMPTION;
use crate::model::{Job, JobId, JobSpec, MachineId, Placement, Resources, TaskId, Timestamp};
use crate::wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A task that may be stopped for another job.
#[derive(Debug, Clone)]
pub struct PreemptibleTask<'a> {
    /// Id of the task.
    pub task: TaskId,
    /// Machine on which the task is placed.
    pub machine: MachineId,
    /// Job of the task.
    pub job: &'a Job,
    /// Whether the task's job is within its team's guarantee.
    pub within_guarantee: bool,
}

impl PreemptibleTask<'_> {
    /// Reports whether the task may be stopped for `candidate`.
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

/// Cost of stopping a task. Fields are compared in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    /// Priority of the task's job.
    priority: Priority,
    /// Whether the task loses its progress, because its job writes no checkpoints.
    loses_progress: bool,
    /// Number of tasks that stop, this one included. The tasks of a gang stop together.
    stopped_tasks: usize,
}

/// Returns the tasks of open jobs that may be stopped for other jobs, in the order of `jobs` and of
/// the tasks' indices.
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

/// Reports whether a task may be preempted. It must not be stopping already and must have been in
/// its current stage for [`MIN_RUN_BEFORE_PREEMPTION`], because the start of a task that is stopped
/// earlier does not count.
fn is_preemptible(placement: &Placement, now: Timestamp) -> bool {
    placement.stop_request.is_none() && now >= placement.stage_since + MIN_RUN_BEFORE_PREEMPTION
}

/// The tasks to stop for a job.
#[derive(Debug, Default)]
pub struct VictimSelection {
    /// The tasks to stop. Empty if the job's tasks fit without.
    pub victims: Vec<TaskId>,
    /// The machines on which the job's tasks fit once the victims have stopped.
    pub machines: BTreeSet<MachineId>,
    /// Highest cost of a victim, or `None` if there are no victims.
    max_cost: Option<PreemptionCost>,
}

impl VictimSelection {
    /// Returns the cost of the selection: the highest cost of a victim, and the number of victims.
    fn cost(&self) -> (Option<PreemptionCost>, usize) {
        (self.max_cost, self.victims.len())
    }
}

/// Chooses running tasks to stop so that `tasks` tasks of the candidate fit, or returns `None` if
/// that is impossible. If the candidate requires a single zone, each zone is tried and the one with
/// the lowest cost is chosen.
pub fn choose_victims(
    candidate: &Candidate<'_>,
    tasks: u32,
    snapshots: &[MachineSnapshot],
    running: &[PreemptibleTask<'_>],
) -> Option<VictimSelection> {
    let machines = preemptible_machines(candidate, snapshots, running);
    if !candidate.job.spec.single_zone {
        return choose_victims_on(candidate, tasks, machines);
    }
    let mut machines_by_zone: BTreeMap<&Arc<str>, Vec<PreemptibleMachine<'_>>> = BTreeMap::new();
    for machine in machines {
        let zone = &machine.snapshot.zone;
        machines_by_zone.entry(zone).or_default().push(machine);
    }
    let zones = machines_by_zone.into_values();
    zones
        .filter_map(|machines| choose_victims_on(candidate, tasks, machines))
        .min_by_key(VictimSelection::cost)
}

/// Chooses victims on these machines. For each of the candidate's tasks, the machine with the
/// lowest cost of preemption is chosen.
fn choose_victims_on(
    candidate: &Candidate<'_>,
    tasks: u32,
    mut machines: Vec<PreemptibleMachine<'_>>,
) -> Option<VictimSelection> {
    let spec = &candidate.job.spec;
    let mut placed = candidate.placed_by_zone.clone();
    let mut selection = VictimSelection::default();
    for _ in 0..tasks {
        let choice = cheapest_preemption(spec, &placed, &machines)?;
        let machine = &mut machines[choice.machine_index];
        machine.preempt_cheapest(choice.victims, &mut selection.victims);
        machine.available = machine.available - spec.request;
        add_tasks(&mut placed, &machine.snapshot.zone, 1);
        selection.machines.insert(machine.snapshot.id.clone());
        selection.max_cost = selection.max_cost.max(choice.max_cost);
    }
    Some(selection)
}

/// A machine and the tasks on it that can be preempted for a candidate.
struct PreemptibleMachine<'a> {
    snapshot: &'a MachineSnapshot,
    /// Preemptible tasks, most expensive first, so that `pop` removes the cheapest.
    preemptible: Vec<&'a PreemptibleTask<'a>>,
    /// Resources that are available once the victims chosen so far have stopped.
    available: Resources,
}

impl PreemptibleMachine<'_> {
    /// Returns how many tasks, cheapest first, have to stop for `request` to fit, or `None` if it
    /// does not fit even when all of them stop.
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

    /// Returns the highest cost among the `count` cheapest tasks, or `None` if `count` is 0.
    fn max_cost(&self, count: usize) -> Option<PreemptionCost> {
        let cheapest = self.preemptible.iter().rev().take(count);
        cheapest.map(|task| task.cost()).max()
    }

    /// Moves the `count` cheapest tasks to `victims` and counts their resources as available.
    fn preempt_cheapest(&mut self, count: usize, victims: &mut Vec<TaskId>) {
        for _ in 0..count {
            if let Some(victim) = self.preemptible.pop() {
                self.available += victim.job.spec.request;
                victims.push(victim.task.clone());
            }
        }
    }
}

/// Returns all machines, in the order of `snapshots`, with the tasks on them that can be preempted
/// for the candidate.
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

/// A machine and the number of tasks to stop on it so that one more task fits. Fields are compared
/// in the order of their declaration.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionChoice {
    /// Highest cost of a victim, or `None` if no task has to stop.
    max_cost: Option<PreemptionCost>,
    /// Number of tasks to stop.
    victims: usize,
    /// Index of the machine in the list of machines.
    machine_index: usize,
}

/// Returns the preemption of lowest cost that makes room for one more task of the job, or `None` if
/// no machine can be given enough room.
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
