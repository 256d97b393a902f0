//! Placements of tasks on machines, with the progress of their starts and stops.

use super::{HeartbeatSequence, MachineId, Timestamp};
use crate::wire::worker::TaskState;

/// Stage of a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStage {
    /// The round that starts the task is being written.
    Planned,
    /// The round is durable, and no heartbeat has listed the task yet.
    Starting {
        /// The heartbeat whose response last carried the start command, if any did.
        sent: Option<HeartbeatSequence>,
        /// How many times the start command was resent; `u32::MAX` for a start that an earlier
        /// leader wrote, which is never resent.
        resends: u32,
    },
    /// A heartbeat listed the task in this state.
    Reported(TaskState),
    /// The task of a gang exited because the gang was incomplete. The task keeps its place and is
    /// started again with the same attempt once the other tasks have their image.
    AwaitingRestart,
    /// The same attempt is started again with the responses to the machine's heartbeats, until a
    /// heartbeat lists the task in another state.
    Restarting,
}

impl PlacementStage {
    /// Reports whether the task has exited and keeps its place, to be started again with the same
    /// attempt.
    pub fn is_kept_for_restart(self) -> bool {
        matches!(
            self,
            PlacementStage::AwaitingRestart | PlacementStage::Restarting
        )
    }

    /// Reports whether a heartbeat has listed the task, so that the worker has received its start.
    pub fn is_confirmed(self) -> bool {
        match self {
            PlacementStage::Planned | PlacementStage::Starting { .. } => false,
            PlacementStage::Reported(_)
            | PlacementStage::AwaitingRestart
            | PlacementStage::Restarting => true,
        }
    }
}

/// A request to stop a task, resent until the task is no longer on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopRequest {
    /// Seconds that the task has to write a checkpoint.
    pub grace_s: u64,
    /// When the task was first requested to stop.
    pub requested_at: Timestamp,
}

/// A task that is or may be on a machine.
///
/// The placement counts against all limits until the task is certainly no longer on the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Machine that the task is placed on.
    pub machine: MachineId,
    /// Number of the round that started the task.
    pub attempt: u64,
    /// Stage of the task.
    pub stage: PlacementStage,
    /// The latest of the times at which the round was planned, the round became durable, a new
    /// leader read the round, and a heartbeat first listed the task.
    pub stage_since: Timestamp,
    /// When a heartbeat first showed the task in its current state, or when the task's restart was
    /// decided; when the round was planned if no heartbeat has listed the task yet.
    pub state_since: Timestamp,
    /// How many times the commands to start the same attempt again were sent.
    pub restarts: u32,
    /// The pending stop request; `None` if the task is not being stopped.
    pub stop_request: Option<StopRequest>,
}

impl Placement {
    /// Creates the placement of a task that enters `stage` at `now`.
    pub fn new(machine: MachineId, attempt: u64, stage: PlacementStage, now: Timestamp) -> Self {
        Placement {
            machine,
            attempt,
            stage,
            stage_since: now,
            state_since: now,
            restarts: 0,
            stop_request: None,
        }
    }

    /// Enters a stage at `now`.
    pub fn enter_stage(&mut self, stage: PlacementStage, now: Timestamp) {
        self.stage = stage;
        self.state_since = now;
    }

    /// Requests the task to stop. If there already is a request, the shorter of the two grace
    /// periods applies.
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
