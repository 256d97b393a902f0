//! Handles tasks that have exited: completions, failures and refused starts.

use crate::engine::Engine;
use crate::model::{JobPhase, MachineId, TaskId};
use crate::wire::user::JobKind;
use crate::wire::worker::{ExitReason, Task};

impl Engine {
    /// Handles a task that the heartbeat of a machine reports as exited. The exit of an attempt
    /// that is not placed on the machine counts only if it completes a task of an array.
    pub(super) fn on_task_exited(&mut self, machine: &MachineId, id: &TaskId, task: &Task) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let completed = task.exit_reason == Some(ExitReason::Completed);
        let completes_array_task = completed && job.spec.kind == JobKind::Array;
        let is_placed_here = job.placements.get(&id.index).is_some_and(|placement| {
            placement.machine == *machine && placement.attempt == task.attempt
        });
        if !is_placed_here && !completes_array_task {
            return;
        }
        if is_placed_here {
            let gang_incomplete = task.exit_reason == Some(ExitReason::GangIncomplete);
            if gang_incomplete && self.await_gang_restart(machine, id) {
                return;
            }
            self.remove_placement(id);
        }
        match task.exit_reason {
            Some(ExitReason::Completed) => self.on_task_completed(machine, id),
            Some(reason) if is_placed_here => self.on_task_exited_incomplete(machine, id, reason),
            _ => {}
        }
        self.stop_rest_of_gang(&id.job);
        self.finish_job_if_over(&id.job);
    }

    /// Handles a task that was placed on the machine and exited there without completing.
    fn on_task_exited_incomplete(&mut self, machine: &MachineId, id: &TaskId, reason: ExitReason) {
        match reason {
            ExitReason::Failed => self.on_task_failed(machine, &id.job),
            ExitReason::UnknownTask => {
                self.delay_restart(&id.job);
                tracing::info!(task = %id, %machine, "worker does not know the job");
            }
            ExitReason::InsufficientResources | ExitReason::AttemptConflict => {
                tracing::info!(task = %id, %machine, ?reason, "start refused");
            }
            ExitReason::GangPeerLost | ExitReason::GangIncomplete => {
                tracing::info!(task = %id, %machine, ?reason, "gang task exited");
            }
            ExitReason::Completed | ExitReason::Stopped => {}
        }
    }

    fn on_task_completed(&mut self, machine: &MachineId, id: &TaskId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.consecutive_failures = 0;
        // Another attempt of the task may still be placed. It is no longer needed and is stopped.
        if let Some(other_attempt) = job.placements.get_mut(&id.index) {
            other_attempt.request_stop(0, now);
        }
        let all_completed = job.complete_task(id.index);
        let failed_on = std::mem::take(&mut job.failed_machines);
        if job.is_gang() && !job.placements.is_empty() {
            // The tasks of a gang complete together. Tasks that are still placed are stopped.
            job.stop_all_tasks(0, now);
        }
        self.attribute_failures(machine, &failed_on);
        if all_completed {
            tracing::debug!(job = %id.job, "all tasks completed");
        }
        if let Some(leader) = self.leadership.leader_mut() {
            match all_completed {
                true => leader.completions.add_finished(&id.job),
                false => leader.completions.add_progress(&id.job),
            }
        }
    }

    /// Reports whether the worker may forget a task that has exited. A completion has to be durable
    /// first, and a task that is kept for a restart is forgotten only together with its start.
    /// After any other exit the task is queued again; a new leader does the same with a task that
    /// its machine no longer reports.
    pub(super) fn may_forget(&self, id: &TaskId, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        if self.is_kept_for_restart(id, task.attempt) {
            return false;
        }
        if task.exit_reason != Some(ExitReason::Completed) {
            return true;
        }
        match job.phase {
            JobPhase::Open => {
                !job.completed.contains(id.index) || job.durable_completions.contains(id.index)
            }
            JobPhase::Done { recorded } => recorded,
            JobPhase::Cancelled => true,
        }
    }
}
