//! Undoes starts that stall, and has the records of rounds that are over removed.

use super::{Round, Rounds};
use crate::constants;
use crate::engine::Engine;
use crate::engine::jobs::Jobs;
use crate::model::{Job, PlacementStage, TaskId, Timestamp};

impl Rounds {
    /// Begins a maintenance pass if one is due; whether it did.
    fn begin_maintenance_if_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.next_maintenance_at;
        if due {
            self.next_maintenance_at = now + constants::HOUSEKEEPING_INTERVAL;
        }
        due
    }

    /// Removes the rounds that nobody needs any more; the keys of their records.
    pub(super) fn close_finished(&mut self, jobs: &Jobs) -> Vec<String> {
        let finished: Vec<u64> = self
            .open
            .iter()
            .filter(|(number, round)| !is_needed(jobs, **number, round))
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
    /// Undoes starts that stall, and has records of finished rounds removed.
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
        // A job that had to wait after a failure becomes due by time alone, with no event.
        let waits = |job: &Job| job.is_open() && !job.pending.is_empty();
        if self.jobs.values().any(waits) {
            leader.scheduling.request();
        }
        for task in self.stalled_starts() {
            tracing::info!(%task, "undoing unsent start");
            self.handle_lost_task(&task);
        }
    }

    /// A start that was never sent, because its machine sends no heartbeat, can be undone at once;
    /// one that was sent stays until the machine's heartbeat proves where it is.
    fn stalled_starts(&self) -> Vec<TaskId> {
        let now = self.context.now();
        let patience =
            constants::STALLED_START_HEARTBEATS * self.context.timing().heartbeat_interval;
        let mut stalled = Vec::new();
        for (id, job) in self.jobs.iter() {
            for (index, placement) in &job.placements {
                let unsent = matches!(placement.stage, PlacementStage::Starting { sent: None, .. });
                let late = now.saturating_since(placement.stage_since) > patience;
                if unsent && (late || placement.stop_request.is_some()) {
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

/// Whether a round has a start that may be on its machine, or whose completion is not durable.
fn is_needed(jobs: &Jobs, number: u64, round: &Round) -> bool {
    round.starts().any(|group| {
        let Some(job) = jobs.get(&group.job) else {
            return false;
        };
        group.tasks.iter().any(|index| {
            let placement = job.placements.get(index);
            let placed = placement.is_some_and(|placement| placement.attempt == number);
            placed || (job.completed.contains(*index) && !job.durable_completions.contains(*index))
        })
    })
}
