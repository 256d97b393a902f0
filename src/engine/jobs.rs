//! The jobs that are not blocked, in the memory of this node.

use crate::model::{Job, JobId, JobPhase, Placement, TaskId};
use std::collections::BTreeMap;
use std::ops::Deref;

/// Jobs by id. A follower holds only the contents of their records; a leader also holds the
/// placements and completions of their tasks.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    by_id: BTreeMap<JobId, Job>,
}

/// Gives read access to the map of jobs. Changes go through the methods of [`Jobs`].
impl Deref for Jobs {
    type Target = BTreeMap<JobId, Job>;

    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl Jobs {
    /// Returns a mutable reference to a job.
    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Iterates over all jobs with mutable references.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&JobId, &mut Job)> {
        self.by_id.iter_mut()
    }

    /// Adds a job, or replaces the one with the same id.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
    }

    /// Removes a job if it exists.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
    }

    /// Returns the placement of a task, or `None` if the task is not placed.
    pub(super) fn placement(&self, task: &TaskId) -> Option<&Placement> {
        self.by_id.get(&task.job)?.placements.get(&task.index)
    }

    /// Returns a mutable reference to the placement of a task, or `None` if the task is not placed.
    pub(super) fn placement_mut(&mut self, task: &TaskId) -> Option<&mut Placement> {
        let job = self.by_id.get_mut(&task.job)?;
        job.placements.get_mut(&task.index)
    }

    /// Returns the number of placed tasks of all jobs.
    pub(super) fn placed_tasks(&self) -> usize {
        self.by_id.values().map(|job| job.placements.len()).sum()
    }

    /// Drops the state that only a leader holds, since it must not be carried into another term.
    /// Jobs whose end is durable are removed; done jobs whose end is not durable become open again.
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
