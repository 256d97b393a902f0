//! Removes placements of tasks that are surely gone, and finished jobs from memory.

use super::Engine;
use crate::model::{JobId, JobPhase, TaskId};

impl Engine {
    /// A task is surely gone from its machine; unless it has completed it waits again. The rest of
    /// a gang is stopped with it.
    pub(super) fn handle_lost_task(&mut self, task: &TaskId) {
        self.remove_placement(task);
        self.stop_rest_of_gang(&task.job);
        self.finish_job_if_over(&task.job);
    }

    /// Removes a task's placement.
    pub(super) fn remove_placement(&mut self, task: &TaskId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.remove_placement(task.index) else {
            return;
        };
        if let Some(leader) = self.leadership.leader_mut() {
            leader.scheduling.request();
            if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                machine.tasks.remove(task);
                machine.idle_since = now;
            }
        }
    }

    /// Has the end of a job written that has come to one, and removes the job from memory once its
    /// end is durable and nothing of it is left on machines.
    pub(super) fn finish_job_if_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let gone_from_machines = job.placements.is_empty();
        match job.phase {
            JobPhase::Done { recorded: true } if gone_from_machines => {
                self.jobs.remove(id);
            }
            JobPhase::Done { recorded: false } => {
                if let Some(leader) = self.leadership.leader_mut() {
                    leader.completions.add_finished(id);
                }
            }
            JobPhase::Cancelled if gone_from_machines => {
                if let Some(leader) = self.leadership.recovered_leader_mut() {
                    leader.completions.add_finished(id);
                }
            }
            _ => {}
        }
    }
}
