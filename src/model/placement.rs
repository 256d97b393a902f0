//! Where a task of a job is, and how far its start or stop has come.

use super::{HeartbeatSequence, MachineId, Timestamp};
use crate::wire::worker::TaskState;

/// Where a placed task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStage {
    /// Its round is being written.
    Planned,
    /// Its round is durable; no heartbeat has named the task yet.
    Starting {
        /// The heartbeat whose response last carried the start.
        sent: Option<HeartbeatSequence>,
        /// How often the start was sent again.
        resends: u32,
    },
    /// A heartbeat named the task in this state.
    Reported(TaskState),
}

/// A request to stop a task, repeated until the task is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopRequest {
    /// Seconds in which the task may write a checkpoint.
    pub grace_s: u64,
    /// When the task was first told to stop.
    pub requested_at: Timestamp,
}

/// A task that is, or may be, on a machine. It counts for every rule until it surely is not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The machine.
    pub machine: MachineId,
    /// Number of the round that started the task.
    pub attempt: u64,
    /// Where the start stands.
    pub stage: PlacementStage,
    /// When the round was planned, when it became durable, or when a heartbeat first named the
    /// task, whichever came last.
    pub stage_since: Timestamp,
    /// Set while the task is being stopped.
    pub stop_request: Option<StopRequest>,
}

impl Placement {
    /// Asks the task to stop; an earlier request with a shorter grace stands.
    pub fn request_stop(&mut self, grace_s: u64, now: Timestamp) {
        match &mut self.stop_request {
            Some(stop) => stop.grace_s = stop.grace_s.min(grace_s),
            None => {
                self.stop_request = Some(StopRequest {
                    grace_s,
                    requested_at: now,
                });
            }
        }
    }
}
