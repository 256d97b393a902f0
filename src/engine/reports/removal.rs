//! Taking tasks off their machines, and finished jobs out of memory.

use crate::engine::Engine;
use crate::model::{JobId, Phase, TaskId};

impl Engine {
    /// Takes a task off its machine for good; without an end on record it waits again. The
    /// rest of a gang is stopped with it: the undo of its round.
    pub(in crate::engine) fn lose(&mut self, id: &TaskId) {
        self.take_off(id);
        self.undo_gang(&id.job);
        self.settle_job(&id.job);
    }

    /// One task of a gang gone, all go: the others are told at once, whatever they have noticed
    /// themselves, with the grace to save.
    pub(super) fn undo_gang(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_gang() && job.is_open() && job.live.values().any(|p| p.stop.is_none()) {
            tracing::info!(job = %id, "gang lost a task, its round is undone");
            job.stop_all(job.spec.grace_s(), now);
            self.send_stops(id);
        }
    }

    /// Removes a task's placement.
    pub(in crate::engine) fn take_off(&mut self, id: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(placement) = job.take_off(id.index) else {
            return;
        };
        if let Some(leader) = self.leader_mut() {
            leader.dirty = true;
            if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                machine.tasks.remove(id);
                machine.idle_since = now;
            }
        }
    }

    /// Removes a finished job from memory once nothing of it is left, and has its end written.
    pub(in crate::engine) fn settle_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (phase, empty) = (job.phase, job.live.is_empty());
        match phase {
            Phase::Done { written: true } if empty => {
                self.jobs.remove(id);
            }
            Phase::Done { written: false } => {
                if let Some(leader) = self.leader_mut() {
                    leader.ends.note(id, true);
                }
            }
            Phase::Cancelled if empty => {
                if let Some(leader) = self.leader_mut().filter(|l| l.loading.is_none()) {
                    leader.ends.note(id, true);
                }
            }
            _ => {}
        }
    }
}
