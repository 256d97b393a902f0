//! Taking tasks off their machines, and finished jobs out of memory.

use crate::engine::Engine;
use crate::model::{JobId, JobPhase, TaskId};

impl Engine {
    /// Takes a task off its machine for good; without an end on record it waits again. The
    /// rest of a gang is stopped with it: the undo of its round.
    pub(in crate::engine) fn handle_lost_task(&mut self, id: &TaskId) {
        self.remove_placement(id);
        self.undo_gang(&id.job);
        self.finish_job_if_over(&id.job);
    }

    /// One task of a gang gone, all go: the others are told at once, whatever they have noticed
    /// themselves, with the grace to save.
    pub(super) fn undo_gang(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_gang()
            && job.is_open()
            && job.placements.values().any(|p| p.stop_request.is_none())
        {
            tracing::info!(job = %id, "gang lost a task, its round is undone");
            job.stop_all_tasks(job.spec.checkpoint_grace_s(), now);
            self.send_stops(id);
        }
    }

    /// Removes a task's placement.
    pub(in crate::engine) fn remove_placement(&mut self, id: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(placement) = job.remove_placement(id.index) else {
            return;
        };
        if let Some(leader) = self.leader_mut() {
            leader.needs_scheduling = true;
            if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                machine.tasks.remove(id);
                machine.idle_since = now;
            }
        }
    }

    /// Removes a finished job from memory once nothing of it is left, and has its end written.
    pub(in crate::engine) fn finish_job_if_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (phase, empty) = (job.phase, job.placements.is_empty());
        match phase {
            JobPhase::Done { recorded: true } if empty => {
                self.jobs.remove(id);
            }
            JobPhase::Done { recorded: false } => {
                if let Some(leader) = self.leader_mut() {
                    leader.completions.note(id, true);
                }
            }
            JobPhase::Cancelled if empty => {
                if let Some(leader) = self.leader_mut().filter(|l| l.recovery.is_none()) {
                    leader.completions.note(id, true);
                }
            }
            _ => {}
        }
    }
}
