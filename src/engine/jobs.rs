//! The jobs that may run, as this node knows them.

use crate::model::{Job, JobId, JobPhase, Placement, TaskId};
use std::collections::BTreeMap;
use std::ops::Deref;

/// Jobs by id. A follower knows what their records say; a leader also where their tasks are.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    by_id: BTreeMap<JobId, Job>,
}

/// For reading.
impl Deref for Jobs {
    type Target = BTreeMap<JobId, Job>;

    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl Jobs {
    /// The job, to be changed.
    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// All jobs, to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&JobId, &mut Job)> {
        self.by_id.iter_mut()
    }

    /// Adds a job.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
    }

    /// Where a task is placed, if it is.
    pub(super) fn placement(&self, task: &TaskId) -> Option<&Placement> {
        self.by_id.get(&task.job)?.placements.get(&task.index)
    }

    /// Where a task is placed, to be changed.
    pub(super) fn placement_mut(&mut self, task: &TaskId) -> Option<&mut Placement> {
        let job = self.by_id.get_mut(&task.job)?;
        job.placements.get_mut(&task.index)
    }

    /// Number of placed tasks of all jobs.
    pub(super) fn placed_tasks(&self) -> usize {
        self.by_id.values().map(|job| job.placements.len()).sum()
    }

    /// Drops what only a leader knows: it is not carried from one term to the next.
    pub(super) fn forget_leader_state(&mut self) {
        for job in self.by_id.values_mut() {
            job.forget_leader_state();
        }
        self.by_id
            .retain(|_, job| job.phase != JobPhase::Done { recorded: true });
        for job in self.by_id.values_mut() {
            if matches!(job.phase, JobPhase::Done { .. }) {
                job.phase = JobPhase::Open;
            }
        }
    }
}

#[cfg(test)]
mod tests;
