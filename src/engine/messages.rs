//! What passes between the engine and its runtime: commands in, effects and replies out; and the
//! operations by which the engine knows the outcomes of its calls again.

use super::{ends, provisioning};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::model::{JobId, MachineId, Ms, Types};
use crate::peer::Announcement;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::user::JobState;
use crate::wire::worker::{DirectOrders, Orders, Report};
use std::net::SocketAddr;
use std::sync::Arc;

/// Names a call whose outcome comes back.
pub type OpId = u64;
/// Names a report that waits for its answer.
pub type ReplyId = u64;

/// What the engine is told by the runtime.
#[derive(Debug)]
pub enum Command {
    /// A worker's report, already checked for form.
    Report { report: Report, reply: ReplyId },
    /// Where a job's tasks stand, for display.
    Count { job: JobId, reply: ReplyId },
    StoreDone {
        op: OpId,
        result: Result<StoreReply, StoreError>,
    },
    CloudDone {
        op: OpId,
        result: Result<CloudReply, CloudError>,
    },
    /// What another node says of itself.
    Announced(Announcement),
    /// A job's cancellation is durable: its user has been or will be told.
    Cancelled(JobId),
    /// How a job stands that waits for others, by news newer than the question.
    Step { job: JobId, reply: ReplyId },
    /// Which of these jobs are not known here to have been accepted.
    Named { jobs: Vec<JobId>, reply: ReplyId },
}

/// The answer to a report or a count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Orders(Orders),
    /// Not the leader; perhaps it knows who is.
    Elsewhere(Option<String>),
    /// Perhaps the leader, but without the right to answer.
    Unavailable,
    Counts {
        done: u64,
        running: u64,
    },
    /// Queued or cancelled; none if the job waits no longer.
    Step(Option<JobState>),
    NotKnown(Vec<JobId>),
}

/// What the runtime carries out for the engine.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Reply {
        to: ReplyId,
        reply: Reply,
    },
    /// A call to the state service; an urgent one waits for no other.
    Store {
        op: OpId,
        call: StoreCall,
        urgent: bool,
    },
    Cloud {
        op: OpId,
        call: CloudCall,
    },
    /// Orders to be sent to a worker directly.
    Orders {
        addr: SocketAddr,
        orders: DirectOrders,
    },
}

/// What the rest of the node may know of the engine.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether users can be served here.
    pub ready: bool,
    pub leading: bool,
    pub term: u64,
    pub leader: Option<String>,
    /// Machine types, once the cloud has told them.
    pub types: Option<Arc<Types>>,
    /// The state service has answered lately.
    pub store_ok: bool,
}

/// What a call that is under way was made for.
#[derive(Debug)]
pub(super) enum Op {
    Types,
    ListLive {
        first: Option<u64>,
    },
    Watch {
        sent: Ms,
    },
    CampaignLease {
        sent: Ms,
    },
    CampaignTerm,
    CampaignCommit {
        term: u64,
    },
    RenewLease {
        sent: Ms,
    },
    /// Nobody waits for the outcome.
    Forgotten,
    Load,
    /// A transaction of the round of that number.
    Round {
        number: u64,
    },
    /// Records of rounds, among which those that nobody needs are looked for.
    OrphanedRounds,
    Ends(ends::Batch),
    /// A record of progress whose version is not known any more.
    Progress {
        key: String,
    },
    /// How a job ended that others await.
    End {
        job: JobId,
    },
    /// Changes since that revision, for those who ask.
    Refresh {
        sent: Ms,
        after: u64,
    },
    Machines,
    Rent(provisioning::Offer),
    Return(Vec<MachineId>),
}

impl Op {
    /// Whether only the leader of the time makes such a call.
    pub(super) fn is_leaders(&self) -> bool {
        !matches!(
            self,
            Op::Types
                | Op::ListLive { .. }
                | Op::Watch { .. }
                | Op::End { .. }
                | Op::Refresh { .. }
        )
    }
}
