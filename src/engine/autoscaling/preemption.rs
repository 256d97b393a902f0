//! Preemption: stopping running tasks for waiting jobs that the cloud has no machines for.

use super::waiting_tasks;
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
    pub preemption: Option<Preemption>,
    /// Jobs before it for which no victims were found.
    pub without_victims: Vec<JobId>,
}

impl Engine {
    /// Whom to stop for the first waiting job that renting can't help: the cloud has refused what
    /// it could use, and nothing expected has room for it. And for which jobs nobody was found:
    /// a few in each pass, as each goes over all that runs.
    pub(super) fn plan_preemption(&self, candidates: &[Candidate<'_>]) -> PreemptionPlan {
        let now = self.now;
        let mut plan = PreemptionPlan::default();
        let Some(leader) = self.leader() else {
            return plan;
        };
        if leader.autoscaling.refused_offers(now).is_empty() {
            return plan;
        }
        let within_guarantee = self.within_guarantee();
        let any_room = Resources::default();
        let mut expected = leader.machines.with_room(any_room, |m| self.is_expected(m));
        let mut up: Option<Vec<MachineSnapshot>> = None;
        let running = preemption::preemptible_tasks(
            self.jobs.iter(),
            |id| within_guarantee.contains(id),
            now,
        );
        for unplaced in &leader.autoscaling.demand {
            let Some(candidate) = candidates.iter().find(|c| *c.id == unplaced.job) else {
                continue;
            };
            // Room that will soon be there is first come, first served: it is taken off for
            // the jobs after this one.
            let waiting = waiting_tasks(candidate, unplaced.tasks);
            let has_room = autoscaler::try_allocate(&waiting, &mut expected);
            if has_room || !self.may_preempt_for(candidate) {
                continue;
            }
            let up = up
                .get_or_insert_with(|| leader.machines.with_room(any_room, Machine::accepts_tasks));
            let gang = candidate.job.is_gang();
            let tasks = if gang { unplaced.tasks } else { 1 };
            let job = candidate.id.clone();
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
        let now = self.now;
        let paused = self.leader().is_some_and(|leader| {
            let pauses = &leader.autoscaling.preemption_pauses;
            pauses.get(candidate.id).is_some_and(|until| now < *until)
        });
        let fresh =
            now.saturating_sub(candidate.job.first_seen_at) < constants::PREEMPTION_DELAY_MS;
        !paused && !fresh
    }

    /// Leaves jobs alone for which no victims were found, and forgets pauses that have ended.
    pub(super) fn pause_preemption(&mut self, without_victims: Vec<JobId>) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let pauses = &mut leader.autoscaling.preemption_pauses;
        pauses.retain(|_, until| now < *until);
        let until = now + constants::PREEMPTION_DELAY_MS;
        pauses.extend(without_victims.into_iter().map(|id| (id, until)));
    }

    /// Stops the victims and leaves the job alone until its tasks had time to start.
    pub(super) fn preempt(&mut self, preemption: Preemption) {
        let now = self.now;
        let Preemption { job, victims } = preemption;
        tracing::info!(%job, victims = victims.len(), "stopping tasks to make room");
        if let Some(leader) = self.leader_mut() {
            let pauses = &mut leader.autoscaling.preemption_pauses;
            pauses.insert(job, now + constants::PREEMPTION_PAUSE_MS);
        }
        for task in victims {
            self.stop_task(&task);
        }
    }

    /// Tells a task to save and stop; of a gang, all of them.
    pub(super) fn stop_task(&mut self, task: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = job.spec.checkpoint_grace_s();
        if job.is_gang() {
            job.stop_all_tasks(grace_s, now);
        } else if let Some(placement) = job.placements.get_mut(&task.index) {
            placement.request_stop(grace_s, now);
        }
        self.send_stops(&task.job);
    }
}
