//! Removes the placements of tasks that are known to be gone from their machines, and the jobs that
//! are over from memory.

use super::Engine;
use crate::model::{JobId, JobPhase, TaskId};

impl Engine {
    /// Handles a task that is known to be gone from its machine. Its placement is removed, which
    /// makes the task pending again unless it has completed. If the job is a gang, its other tasks
    /// are stopped.
    pub(super) fn handle_lost_task(&mut self, task: &TaskId) {
        self.remove_placement(task);
        self.stop_rest_of_gang(&task.job);
        self.finish_job_if_over(&task.job);
    }

    /// Removes a task's placement, removes the task from its machine, and requests scheduling.
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

    /// Queues the end of a job that is over to be written, and removes the job from memory once its
    /// end is durable and none of its tasks is left on a machine.
    pub(super) fn finish_job_if_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let has_no_placements = job.placements.is_empty();
        match job.phase {
            JobPhase::Done { recorded: true } if has_no_placements => {
                self.jobs.remove(id);
            }
            JobPhase::Done { recorded: false } => {
                if let Some(leader) = self.leadership.leader_mut() {
                    leader.completions.add_finished(id);
                }
            }
            JobPhase::Cancelled if has_no_placements => {
                if let Some(leader) = self.leadership.recovered_leader_mut() {
                    leader.completions.add_finished(id);
                }
            }
            _ => {}
        }
    }
}
