//! Undoes stalled starts, and removes the records of finished rounds.

use super::{Round, Rounds};
use crate::constants;
use crate::engine::Engine;
use crate::engine::jobs::Jobs;
use crate::model::{Job, PlacementStage, TaskId, Timestamp};

impl Rounds {
    /// Begins a maintenance pass if one is due, and reports whether it did.
    fn begin_maintenance_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_maintenance_at;
        if is_due {
            self.next_maintenance_at = now + constants::HOUSEKEEPING_INTERVAL;
        }
        is_due
    }

    /// Removes the rounds whose records are no longer needed, and returns the keys of those
    /// records.
    pub(super) fn close_finished(&mut self, jobs: &Jobs) -> Vec<String> {
        let finished: Vec<u64> = self
            .open
            .iter()
            .filter(|(number, round)| !needs_records(jobs, **number, round))
            .map(|(number, _)| *number)
            .collect();
        let rounds = finished
            .iter()
            .filter_map(|number| self.open.remove(number));
        let parts = rounds.flat_map(|round| round.parts);
        parts.map(|part| part.key).collect()
    }
}

impl Engine {
    /// Undoes stalled starts, queues the records of finished rounds for removal, and continues the
    /// search for orphaned records.
    pub(in crate::engine) fn maintain_rounds(&mut self) {
        self.search_orphaned_rounds();
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if !leader.rounds.begin_maintenance_if_due(now) {
            return;
        }
        for key in leader.rounds.close_finished(&self.jobs) {
            leader.completions.add_removal(key);
        }
        // The end of a job's backoff causes no event, so scheduling is requested here.
        let has_pending_tasks = |job: &Job| job.is_open() && !job.pending.is_empty();
        if self.jobs.values().any(has_pending_tasks) {
            leader.scheduling.request();
        }
        for task in self.stalled_starts() {
            tracing::info!(%task, "undoing unsent start");
            self.handle_lost_task(&task);
        }
    }

    /// Returns the tasks whose start is durable but was never sent, and which either are overdue,
    /// because their machine sends no heartbeat, or are to be stopped. Such a start can be undone
    /// at once. A start that was sent is kept until a heartbeat of its machine shows whether the
    /// task is there.
    fn stalled_starts(&self) -> Vec<TaskId> {
        let now = self.context.now();
        let max_unsent_age =
            constants::STALLED_START_HEARTBEATS * self.context.timing().heartbeat_interval;
        let mut stalled = Vec::new();
        for (id, job) in self.jobs.iter() {
            for (index, placement) in &job.placements {
                let is_unsent =
                    matches!(placement.stage, PlacementStage::Starting { sent: None, .. });
                let is_late = now.saturating_since(placement.stage_since) > max_unsent_age;
                if is_unsent && (is_late || placement.stop_request.is_some()) {
                    stalled.push(TaskId {
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        stalled
    }
}

/// Reports whether a round has a start that is still placed, or whose completion is not durable.
fn needs_records(jobs: &Jobs, number: u64, round: &Round) -> bool {
    round.starts().any(|group| {
        let Some(job) = jobs.get(&group.job) else {
            return false;
        };
        group.tasks.iter().any(|index| {
            let placement = job.placements.get(index);
            let is_placed = placement.is_some_and(|placement| placement.attempt == number);
            is_placed
                || (job.completed.contains(*index) && !job.durable_completions.contains(*index))
        })
    })
}
