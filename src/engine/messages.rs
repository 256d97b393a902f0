//! The messages between the engine and its runtime: commands in, effects and replies out. Also the
//! data that the engine keeps about each call in flight.

use super::autoscaling::MachineOffer;
use super::completions::CompletionBatch;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::model::{JobId, MachineId, MachineTypes, Timestamp};
use crate::peer::Announcement;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::user::JobState;
use crate::wire::worker::{DirectCommands, Heartbeat, HeartbeatResponse};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a call whose outcome returns as a command.
pub type CallId = u64;
/// Identifies a command that waits for a reply.
pub type ReplyId = u64;

/// An input that the runtime passes to the engine.
#[derive(Debug)]
pub enum Command {
    /// A decoded heartbeat of a worker.
    Heartbeat {
        /// The decoded message.
        heartbeat: Heartbeat,
        /// Id of the command, to which the reply is addressed.
        reply: ReplyId,
    },
    /// Asks how many tasks of a job have completed and how many are running, for display.
    CountTasks {
        /// Id of the job.
        job: JobId,
        /// Id of the command, to which the reply is addressed.
        reply: ReplyId,
    },
    /// The outcome of a call to the state service.
    StoreCallCompleted {
        /// Id of the call.
        call_id: CallId,
        /// Reply of the state service, or the error of the call.
        result: Result<StoreReply, StoreError>,
    },
    /// The outcome of a call to the cloud.
    CloudCallCompleted {
        /// Id of the call.
        call_id: CallId,
        /// Reply of the cloud, or the error of the call.
        result: Result<CloudReply, CloudError>,
    },
    /// Another node has announced its state.
    PeerAnnounced(Announcement),
    /// A job's cancellation is durable, and its user has received or will receive the confirmation.
    JobCancelled(JobId),
    /// Asks for the state of a job that waits for its dependencies. The reply reflects changes that
    /// were read after the query arrived.
    QueryBlockedJob {
        /// Id of the job.
        job: JobId,
        /// Id of the command, to which the reply is addressed.
        reply: ReplyId,
    },
    /// Asks which of the given jobs this node does not know to have been accepted.
    FindUnknownJobs {
        /// Ids of the jobs.
        jobs: Vec<JobId>,
        /// Id of the command, to which the reply is addressed.
        reply: ReplyId,
    },
}

/// The engine's reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The heartbeat is accepted, and the response renews the worker's lease.
    HeartbeatAccepted(HeartbeatResponse),
    /// This node does not lead. Contains the name of the leader's node, if one is known.
    RedirectToLeader(Option<String>),
    /// This node can't answer the command at the moment.
    Unavailable,
    /// Numbers of a job's completed and running tasks.
    TaskCounts {
        /// Number of completed tasks.
        completed: u64,
        /// Number of running tasks.
        running: u64,
    },
    /// State of a blocked job, queued or cancelled; `None` if the job is no longer blocked.
    BlockedJobState(Option<JobState>),
    /// Jobs that this node does not know to have been accepted.
    UnknownJobs(Vec<JobId>),
}

/// An action that the runtime executes for the engine.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Replies to a command.
    Reply {
        /// Id of the command.
        to: ReplyId,
        /// Reply to the command.
        reply: Reply,
    },
    /// Calls the state service.
    CallStore {
        /// Id that is returned with the outcome.
        call_id: CallId,
        /// Operation to call.
        call: StoreCall,
        /// Whether the call is exempt from waiting for the rate limit.
        urgent: bool,
    },
    /// Calls the cloud.
    CallCloud {
        /// Id that is returned with the outcome.
        call_id: CallId,
        /// Operation to call.
        call: CloudCall,
    },
    /// Sends commands to a worker directly, without waiting for its next heartbeat.
    SendCommands {
        /// Address of the worker.
        address: SocketAddr,
        /// Commands, with the fencing token of the sender.
        commands: DirectCommands,
    },
}

/// The state of the engine that the other components of the node can see.
#[derive(Debug, Clone, Default)]
pub struct EngineStatus {
    /// Whether this node can serve users.
    pub ready: bool,
    /// Whether this node leads.
    pub leading: bool,
    /// Term of this node's leadership; 0 if this node does not lead.
    pub term: u64,
    /// Name of the leader's node, if one is known.
    pub leader: Option<String>,
    /// Machine types of the cloud; `None` until they have been read.
    pub machine_types: Option<Arc<MachineTypes>>,
    /// Whether the state service has answered recently.
    pub store_reachable: bool,
}

/// The purpose of a call in flight.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// Reads the cloud's machine types.
    ListMachineTypes,
    /// Reads a page of the records under `live/`.
    ListLiveRecords {
        /// Revision of the first page; `None` if this call reads the first page.
        first_revision: Option<u64>,
    },
    /// Waits for changes of the records under `live/`.
    WatchLiveRecords { sent_at: Timestamp },
    /// Requests the lease of a campaign.
    GrantCampaignLease { sent_at: Timestamp },
    /// Reads the durable term.
    ReadTerm,
    /// Writes this node's name as leader and a higher term.
    CommitElection { term: u64 },
    /// Renews the leader's lease.
    RenewLease { sent_at: Timestamp },
    /// A call whose outcome is not used.
    Untracked,
    /// Reads a page of the records that a new leader recovers.
    ReadRecoveryPage,
    /// Commits a transaction of the round with the given number.
    WriteRound { number: u64 },
    /// Lists records of rounds to find orphaned ones.
    ListOrphanedRounds,
    /// Writes completions.
    WriteCompletions(CompletionBatch),
    /// Reads a progress record whose current version is not known.
    ReadProgressRecord { key: String },
    /// Reads the final state of a job on which other jobs depend.
    ReadFinalRecord { job: JobId },
    /// Reads the changes since the revision `after`, to answer users' queries.
    RefreshLiveRecords { sent_at: Timestamp, after: u64 },
    /// Reads a page of the cloud's machine list.
    ListMachines,
    /// Rents machines.
    RentMachines(MachineOffer),
    /// Returns machines.
    ReturnMachines(Vec<MachineId>),
}

impl PendingCall {
    /// Reports whether only a leader or a candidate makes such a call.
    pub(super) fn is_leader_only(&self) -> bool {
        !matches!(
            self,
            PendingCall::ListMachineTypes
                | PendingCall::ListLiveRecords { .. }
                | PendingCall::WatchLiveRecords { .. }
                | PendingCall::ReadFinalRecord { .. }
                | PendingCall::RefreshLiveRecords { .. }
        )
    }

    /// Reports whether leadership depends on the call, which exempts it from the rate limit.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self,
            PendingCall::RenewLease { .. }
                | PendingCall::GrantCampaignLease { .. }
                | PendingCall::CommitElection { .. }
                | PendingCall::ReadTerm
        )
    }
}
