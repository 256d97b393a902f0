//! Whether a gang can still begin in its current attempt after some of its tasks have exited
//! because the gang was incomplete.

use super::{Job, Placement, PlacementStage, Timestamp};
use crate::wire::worker::TaskState;
use std::time::Duration;

/// Durations that decide when the exited tasks of a gang are started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangTiming {
    /// Time for which a task waits for the others before it exits.
    pub wait: Duration,
    /// Time within which a task that is started again is back on its machine.
    pub restart: Duration,
}

/// How far a gang that has not begun is. The variants are ordered: the gang is as far as the task
/// with the greatest value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GangStart {
    /// The gang begins as soon as the exited tasks are started again: every other task waits, and
    /// waits long enough.
    Ready,
    /// A task waits for its image, or its wait ends before the exited tasks could be back.
    Incomplete,
    /// The gang can't begin in this attempt.
    Impossible,
}

impl Job {
    /// Returns how far the gang is on the way to its start.
    ///
    /// Exited tasks are started again together. If each were started again by itself, the tasks of
    /// a large gang, which exit at different times, might never all be on their machines at once.
    pub fn gang_start(&self, timing: GangTiming, now: Timestamp) -> GangStart {
        let mut placements = self.placements.values();
        let Some(first) = placements.next() else {
            return GangStart::Impossible;
        };
        let is_whole = self.is_gang()
            && self.is_open()
            && self.placements.len() as u64 == u64::from(self.spec.tasks)
            && placements.all(|placement| placement.attempt == first.attempt);
        if !is_whole {
            return GangStart::Impossible;
        }
        let starts = self.placements.values();
        let start_of_gang = starts.map(|task| task_start(task, timing, now)).max();
        start_of_gang.unwrap_or(GangStart::Impossible)
    }

    /// Reports whether a task of the gang has exited and waits to be started again.
    pub fn has_task_awaiting_restart(&self) -> bool {
        let mut placements = self.placements.values();
        placements.any(|placement| placement.stage == PlacementStage::AwaitingRestart)
    }
}

/// Returns how far one task of a gang is on the way to the gang's start.
fn task_start(placement: &Placement, timing: GangTiming, now: Timestamp) -> GangStart {
    if placement.stop_request.is_some() {
        return GangStart::Impossible;
    }
    match placement.stage {
        PlacementStage::Planned
        | PlacementStage::Starting { .. }
        | PlacementStage::Reported(TaskState::Fetching) => GangStart::Incomplete,
        PlacementStage::Reported(TaskState::WaitingForGang) => {
            let waited = now.saturating_since(placement.state_since);
            match waited + timing.restart <= timing.wait {
                true => GangStart::Ready,
                false => GangStart::Incomplete,
            }
        }
        PlacementStage::AwaitingRestart | PlacementStage::Restarting => GangStart::Ready,
        PlacementStage::Reported(_) => GangStart::Impossible,
    }
}

#[cfg(test)]
mod tests;
