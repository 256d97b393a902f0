//! What passes between the engine and its runtime: commands in, effects and replies out; and what
//! the engine remembers of each call in flight.

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

/// Identifies a call whose outcome comes back as a command.
pub type CallId = u64;
/// Identifies a command that waits for a reply.
pub type ReplyId = u64;

/// What the runtime tells the engine.
#[derive(Debug)]
pub enum Command {
    /// A worker's heartbeat, already decoded.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Where its response goes.
        reply: ReplyId,
    },
    /// Asks how many tasks of a job have completed and run, for display.
    CountTasks {
        /// The job.
        job: JobId,
        /// Where the answer goes.
        reply: ReplyId,
    },
    /// The outcome of a call to the state service.
    StoreCallCompleted {
        /// The call.
        call_id: CallId,
        /// Its outcome.
        result: Result<StoreReply, StoreError>,
    },
    /// The outcome of a call to the cloud.
    CloudCallCompleted {
        /// The call.
        call_id: CallId,
        /// Its outcome.
        result: Result<CloudReply, CloudError>,
    },
    /// Another node has announced its state.
    PeerAnnounced(Announcement),
    /// A job's cancellation is durable: its user has been or will be told.
    JobCancelled(JobId),
    /// Asks for the state of a job that waits for its dependencies. The answer rests on changes
    /// that were read after the question came.
    QueryBlockedJob {
        /// The job.
        job: JobId,
        /// Where the answer goes.
        reply: ReplyId,
    },
    /// Asks which of these jobs are not known here to have been accepted.
    FindUnknownJobs {
        /// The jobs.
        jobs: Vec<JobId>,
        /// Where the answer goes.
        reply: ReplyId,
    },
}

/// The engine's reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The heartbeat is accepted; its worker's lease is renewed.
    HeartbeatAccepted(HeartbeatResponse),
    /// This node does not lead; it names the leader if it knows one.
    RedirectToLeader(Option<String>),
    /// This node may not answer at the moment.
    Unavailable,
    /// Numbers of a job's tasks.
    TaskCounts {
        /// Completed tasks.
        completed: u64,
        /// Running tasks.
        running: u64,
    },
    /// Queued or cancelled; `None` if the job is not blocked any more.
    BlockedJobState(Option<JobState>),
    /// Jobs that are not known here to have been accepted.
    UnknownJobs(Vec<JobId>),
}

/// What the runtime carries out for the engine.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Replies to a command.
    Reply {
        /// The command.
        to: ReplyId,
        /// The reply.
        reply: Reply,
    },
    /// Calls the state service.
    CallStore {
        /// Comes back with the outcome.
        call_id: CallId,
        /// The call.
        call: StoreCall,
        /// An urgent call waits for no rate limit.
        urgent: bool,
    },
    /// Calls the cloud.
    CallCloud {
        /// Comes back with the outcome.
        call_id: CallId,
        /// The call.
        call: CloudCall,
    },
    /// Sends commands to a worker directly.
    SendCommands {
        /// Address of the worker.
        address: SocketAddr,
        /// The commands.
        commands: DirectCommands,
    },
}

/// What the rest of the node knows of the engine.
#[derive(Debug, Clone, Default)]
pub struct EngineStatus {
    /// Whether users can be served here.
    pub ready: bool,
    /// Whether this node leads.
    pub leading: bool,
    /// The term that it leads with; 0 if it does not lead.
    pub term: u64,
    /// Name of the leader's node, if one is known.
    pub leader: Option<String>,
    /// Machine types, once the cloud has told them.
    pub machine_types: Option<Arc<MachineTypes>>,
    /// Whether the state service has answered lately.
    pub store_reachable: bool,
}

/// What a call in flight was made for.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// Reads the cloud's machine types.
    ListMachineTypes,
    /// Reads a page of the records under `live/`.
    ListLiveRecords {
        /// Revision of the first page; none if this is the first.
        first_revision: Option<u64>,
    },
    /// Waits for changes of the records under `live/`.
    WatchLiveRecords { sent_at: Timestamp },
    /// Asks for the lease of a campaign.
    GrantCampaignLease { sent_at: Timestamp },
    /// Reads the durable term.
    ReadTerm,
    /// Writes this node's name and a higher term.
    CommitElection { term: u64 },
    /// Renews the leader's lease.
    RenewLease { sent_at: Timestamp },
    /// Nobody waits for the outcome.
    Untracked,
    /// Reads a page of the records that a new leader recovers.
    ReadRecoveryPage,
    /// A transaction of the round with that number.
    WriteRound { number: u64 },
    /// Lists records of rounds to find orphaned ones.
    ListOrphanedRounds,
    /// Writes completions.
    WriteCompletions(CompletionBatch),
    /// Reads a progress record whose version is not known any more.
    ReadProgressRecord { key: String },
    /// Reads how a job ended that others depend on.
    ReadFinalRecord { job: JobId },
    /// Reads the changes since that revision for users' questions.
    RefreshLiveRecords { sent_at: Timestamp, after: u64 },
    /// Reads a page of the cloud's machine list.
    ListMachines,
    /// Rents machines.
    RentMachines(MachineOffer),
    /// Returns machines.
    ReturnMachines(Vec<MachineId>),
}

impl PendingCall {
    /// Whether only a leader makes such a call.
    pub(super) fn is_leaders(&self) -> bool {
        !matches!(
            self,
            PendingCall::ListMachineTypes
                | PendingCall::ListLiveRecords { .. }
                | PendingCall::WatchLiveRecords { .. }
                | PendingCall::ReadFinalRecord { .. }
                | PendingCall::RefreshLiveRecords { .. }
        )
    }

    /// Whether leadership depends on the call: it waits for no rate limit.
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
