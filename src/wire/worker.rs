//! Messages between workers and controller nodes.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task is running.
    Running,
    /// The task was told to stop and is writing a checkpoint.
    #[serde(rename = "saving")]
    Checkpointing,
    /// The task has exited; the worker reports the task until it receives
    /// [`WorkerCommand::Forget`].
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task completed its work.
    #[serde(rename = "done")]
    Completed,
    /// The task was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang was lost.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Not all tasks of the gang arrived in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The task failed, usually because of its machine.
    #[serde(rename = "error")]
    Failed,
    /// The worker refused the start because the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused the start because another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The worker refused the start because it found no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// Status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Task id, as `<job>/<index>`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt number, chosen by the leader that started the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the task exited; set once it has exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task saved its checkpoint.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// A worker's heartbeat with the status of all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine, chosen by the cloud.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker takes direct commands, as `ip:port`.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Incarnation of the worker, raised each time the worker loses its lease and with it all
    /// tasks.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number, raised with each heartbeat and each executed direct command of an
    /// incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the spot instance, if it has given notice.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included.
    #[serde(rename = "pieces")]
    pub tasks: Vec<Task>,
}

/// A command to a worker about one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Starts the attempt; has no effect if the worker already has it.
    #[serde(rename = "launch")]
    Start {
        /// Task id, as `<job>/<index>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops the attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Task id, as `<job>/<index>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task has to write a checkpoint.
        #[serde(rename = "wind_down_s")]
        grace_s: u64,
    },
    /// Removes the exited attempt from further heartbeats.
    Forget {
        /// Task id, as `<job>/<index>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to an accepted heartbeat, which renews the worker's lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the responding leader.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The response that redirects a worker to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// Name of the leader's node, if the leader is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Commands sent directly to a worker. They do not renew the worker's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader that sends the commands.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Incarnation of the worker for which the commands are meant.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
