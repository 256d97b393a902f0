//! Preemption: stopping running tasks for waiting jobs that the cloud has no machines for.

use crate::autoscaler;
use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, Machine, MachineId, Resources, Timestamp};
use crate::placement::preemption::{self, VictimSelection};
use crate::placement::{Candidate, MachineSnapshot};
use std::collections::BTreeSet;

/// The tasks to stop for one job.
pub(super) struct Preemption {
    job: JobId,
    /// Whether the job is a gang, which starts only once all victims have stopped.
    is_gang: bool,
    selection: VictimSelection,
}

impl Preemption {
    fn new(candidate: &Candidate<'_>, selection: VictimSelection) -> Self {
        Preemption {
            job: candidate.id.clone(),
            is_gang: candidate.job.is_gang(),
            selection,
        }
    }
}

/// Machines on which tasks were stopped for a gang.
#[derive(Debug)]
pub(super) struct PreemptedMachines {
    machines: BTreeSet<MachineId>,
    /// Time until which the machines are kept for the gang.
    until: Timestamp,
}

/// The result of one search for victims over the waiting jobs.
#[derive(Default)]
pub(super) struct PreemptionPlan {
    /// The tasks to stop for the first job for which victims were found.
    pub(super) preemption: Option<Preemption>,
    /// The jobs searched before it for which no victims were found.
    pub(super) without_victims: Vec<JobId>,
}

impl Engine {
    /// Chooses the tasks to stop for the first waiting job that cannot get rented machines: the
    /// cloud has recently refused offers, and the machines that accept tasks now or soon have no
    /// resources left for the job. The plan also lists the jobs for which no victims were found. A
    /// pass stops after [`constants::MAX_PREEMPTION_SEARCHES`] of them, because each search
    /// iterates over all running tasks.
    pub(super) fn plan_preemption(&self, candidates: &[Candidate<'_>]) -> PreemptionPlan {
        let now = self.context.now();
        let mut plan = PreemptionPlan::default();
        let Some(leader) = self.leadership.leader() else {
            return plan;
        };
        if leader.autoscaling.refusals.active_at(now).is_empty() {
            return plan;
        }
        let within_guarantee = self.jobs_within_guarantee();
        let no_minimum = Resources::default();
        let machines = &leader.machines;
        let mut available_soon = machines.with_available(no_minimum, |machine| {
            self.accepts_tasks_now_or_soon(machine)
        });
        let mut accepting: Option<Vec<MachineSnapshot>> = None;
        let preemptible = preemption::preemptible_tasks(
            self.jobs.iter(),
            |id| within_guarantee.contains(id),
            now,
        );
        for (candidate, waiting) in leader.autoscaling.unplaced_jobs(candidates) {
            // Resources that are available now or soon are allocated to the waiting jobs in order,
            // so later jobs see only the remainder.
            let has_resources = autoscaler::try_allocate(&waiting, &mut available_soon);
            if has_resources || !self.may_preempt_for(candidate) {
                continue;
            }
            let accepting = accepting
                .get_or_insert_with(|| machines.with_available(no_minimum, Machine::accepts_tasks));
            let tasks = tasks_to_preempt_for(candidate, waiting.tasks);
            let selection = preemption::choose_victims(candidate, tasks, accepting, &preemptible);
            if let Some(selection) = selection.filter(|chosen| !chosen.victims.is_empty()) {
                plan.preemption = Some(Preemption::new(candidate, selection));
                return plan;
            }
            plan.without_victims.push(candidate.id.clone());
            if plan.without_victims.len() >= constants::MAX_PREEMPTION_SEARCHES {
                break;
            }
        }
        plan
    }

    /// Reports whether this node has known the job for [`constants::PREEMPTION_DELAY`] and
    /// preemption for the job is not paused.
    fn may_preempt_for(&self, candidate: &Candidate<'_>) -> bool {
        let now = self.context.now();
        let paused = self.leadership.leader().is_some_and(|leader| {
            let pauses = &leader.autoscaling.preemption_pauses;
            pauses.get(candidate.id).is_some_and(|until| now < *until)
        });
        let waited = now.saturating_since(candidate.job.first_seen_at);
        !paused && waited >= constants::PREEMPTION_DELAY
    }

    /// Pauses the search for jobs for which no victims were found, and removes pauses that have
    /// ended.
    pub(super) fn pause_preemption(&mut self, without_victims: Vec<JobId>) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let pauses = &mut leader.autoscaling.preemption_pauses;
        pauses.retain(|_, until| now < *until);
        let until = now + constants::PREEMPTION_DELAY;
        pauses.extend(without_victims.into_iter().map(|id| (id, until)));
    }

    /// Stops the victims and pauses preemption for the job, so that its tasks have time to start.
    pub(super) fn preempt(&mut self, preemption: Preemption) {
        let now = self.context.now();
        let Preemption {
            job,
            is_gang,
            selection,
        } = preemption;
        let VictimSelection {
            victims, machines, ..
        } = selection;
        let (victim_count, machine_count) = (victims.len(), machines.len());
        tracing::info!(%job, victims = victim_count, machines = machine_count, "preempting tasks");
        if let Some(leader) = self.leadership.leader_mut() {
            let until = now + constants::PREEMPTION_COOLDOWN;
            let autoscaling = &mut leader.autoscaling;
            autoscaling.preemption_pauses.insert(job.clone(), until);
            let preempted = &mut autoscaling.preempted_machines;
            preempted.retain(|_, preempted| now < preempted.until);
            if is_gang {
                preempted.insert(job, PreemptedMachines { machines, until });
            }
        }
        for task in victims {
            self.stop_task(&task);
        }
    }

    /// Returns the machines on which tasks were stopped for the gang within
    /// [`constants::PREEMPTION_COOLDOWN`].
    pub(in crate::engine) fn preempted_machines(&self, id: &JobId) -> Option<&BTreeSet<MachineId>> {
        let leader = self.leadership.leader()?;
        let preempted = leader.autoscaling.preempted_machines.get(id)?;
        (self.context.now() < preempted.until).then_some(&preempted.machines)
    }
}

/// Returns for how many of a job's unplaced tasks victims are chosen in one pass: for all tasks of
/// a gang, which start together, and for one task of any other job.
fn tasks_to_preempt_for(candidate: &Candidate<'_>, unplaced_tasks: u32) -> u32 {
    match candidate.job.is_gang() {
        true => unplaced_tasks,
        false => 1,
    }
}
