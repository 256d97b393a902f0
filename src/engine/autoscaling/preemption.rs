//! Preemption: stopping running tasks for waiting jobs that the cloud has no machines for.

use crate::autoscaler;
use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, Machine, Resources, TaskId};
use crate::placement::{Candidate, MachineSnapshot, preemption};

/// Tasks to be stopped for one job.
pub(super) struct Preemption {
    job: JobId,
    victims: Vec<TaskId>,
}

/// What one pass over the waiting jobs found.
#[derive(Default)]
pub(super) struct PreemptionPlan {
    /// The first job for which tasks can be stopped.
    pub(super) preemption: Option<Preemption>,
    /// Jobs before it for which no victims were found.
    pub(super) without_victims: Vec<JobId>,
}

impl Engine {
    /// Whom to stop for the first waiting job that renting can't help: the cloud has refused what
    /// it could use, and nothing expected has resources for it. And for which jobs nobody was found:
    /// a few in each pass, as each goes over all that runs.
    pub(super) fn plan_preemption(&self, candidates: &[Candidate<'_>]) -> PreemptionPlan {
        let now = self.context.now();
        let mut plan = PreemptionPlan::default();
        let Some(leader) = self.leadership.leader() else {
            return plan;
        };
        if leader.autoscaling.refusals.at(now).is_empty() {
            return plan;
        }
        let within_guarantee = self.jobs_within_guarantee();
        let any = Resources::default();
        let machines = &leader.machines;
        let mut expected = machines.with_available(any, |machine| self.is_expected(machine));
        let mut up: Option<Vec<MachineSnapshot>> = None;
        let running = preemption::preemptible_tasks(
            self.jobs.iter(),
            |id| within_guarantee.contains(id),
            now,
        );
        for (candidate, waiting) in leader.autoscaling.unplaced_jobs(candidates) {
            // What will soon be available is first come, first served: it is allocated before the
            // jobs after this one.
            let has_resources = autoscaler::try_allocate(&waiting, &mut expected);
            if has_resources || !self.may_preempt_for(candidate) {
                continue;
            }
            let up = up.get_or_insert_with(|| machines.with_available(any, Machine::accepts_tasks));
            let job = candidate.id.clone();
            let tasks = tasks_to_preempt_for(candidate, waiting.tasks);
            let victims = preemption::choose_victims(candidate, tasks, up, &running);
            if !victims.is_empty() {
                plan.preemption = Some(Preemption { job, victims });
                return plan;
            }
            plan.without_victims.push(job);
            if plan.without_victims.len() >= constants::MAX_PREEMPTION_SEARCHES {
                break;
            }
        }
        plan
    }

    /// Whether the job has waited for a while, and no search for it was made a moment ago.
    fn may_preempt_for(&self, candidate: &Candidate<'_>) -> bool {
        let now = self.context.now();
        let paused = self.leadership.leader().is_some_and(|leader| {
            let pauses = &leader.autoscaling.preemption_pauses;
            pauses.get(candidate.id).is_some_and(|until| now < *until)
        });
        let waited = now.saturating_since(candidate.job.first_seen_at);
        !paused && waited >= constants::PREEMPTION_DELAY
    }

    /// Leaves jobs alone for which no victims were found, and forgets pauses that have ended.
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

    /// Stops the victims and leaves the job alone until its tasks had time to start.
    pub(super) fn preempt(&mut self, preemption: Preemption) {
        let now = self.context.now();
        let Preemption { job, victims } = preemption;
        tracing::info!(%job, victims = victims.len(), "preempting tasks");
        if let Some(leader) = self.leadership.leader_mut() {
            let pauses = &mut leader.autoscaling.preemption_pauses;
            pauses.insert(job, now + constants::PREEMPTION_COOLDOWN);
        }
        for task in victims {
            self.stop_task(&task);
        }
    }
}

/// For how many of a job's unplaced tasks others are stopped at once: a gang needs all of them.
fn tasks_to_preempt_for(candidate: &Candidate<'_>, unplaced_tasks: u32) -> u32 {
    match candidate.job.is_gang() {
        true => unplaced_tasks,
        false => 1,
    }
}
