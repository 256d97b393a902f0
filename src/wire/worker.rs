//! Messages between workers and controller nodes.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine fetches the task's image.
    Fetching,
    /// A gang task that waits for the gang's other tasks.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task runs.
    Running,
    /// The task was told to stop and writes a checkpoint.
    #[serde(rename = "saving")]
    Checkpointing,
    /// The task has ended; the worker reports it until it is told to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task has done its work.
    #[serde(rename = "done")]
    Completed,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The task failed, mostly because of its machine.
    #[serde(rename = "error")]
    Failed,
    /// Start refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// Start refused: the worker finds no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Job id and task index, as `<job>/<index>`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt number, chosen by the leader that started the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Where the task stands.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Set once the task has exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task wrote its checkpoint.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// A worker's heartbeat with the status of all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine, chosen by the cloud.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where the worker takes direct commands, as `ip:port`.
    pub address: String,
    /// Machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Raised each time the worker has lost its lease and all tasks with it.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Raised with each heartbeat and each executed direct command of an incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes a spot instance back, if it has given notice.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included.
    #[serde(rename = "pieces")]
    pub tasks: Vec<Task>,
}

/// What a worker is told to do with one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start the attempt; no effect if the worker has it already.
    #[serde(rename = "launch")]
    Start {
        /// Job id and task index.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Job id and task index.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds in which the task may write a checkpoint.
        #[serde(rename = "wind_down_s")]
        grace_s: u64,
    },
    /// Leave the exited attempt out of further heartbeats.
    Forget {
        /// Job id and task index.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to an accepted heartbeat; it renews the worker's lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the responding leader.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The response that sends a worker to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// Name of the leader's node, if it is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Commands that are sent to a worker directly. They do not renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the sender.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// The incarnation that the commands are for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
