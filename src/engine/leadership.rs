//! The role of this node and the current leader as observed in the state service.
//!
//! The leader is the node whose name is stored under a key that is attached to a lease of the state
//! service. The commit that writes the key also increases the durable term, and is a
//! compare-and-swap on both: it succeeds only if neither the key nor the term has changed since
//! they were read. Terms are therefore never reused, and at most one leader's commits succeed.
//! `election.rs` implements the steps of a campaign; `authority.rs` decides which actions a node
//! is allowed to take.

use super::context::Context;
use super::leader::Leader;
use super::retry::Retry;
use crate::model::Timestamp;

/// The leader according to the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ObservedLeader {
    /// Name of the leader's node.
    pub(super) node: String,
    /// Term of the leader.
    pub(super) term: u64,
    /// Version of the leader's key.
    pub(super) version: u64,
}

/// The lease that was granted to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CampaignLease {
    /// Id of the lease.
    pub(super) id: u64,
    /// Time at which the request for the lease was sent.
    pub(super) sent_at: Timestamp,
}

/// The phase of a campaign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CampaignPhase {
    /// The request for a lease is in flight.
    RequestingLease,
    /// The lease is granted. The term is read and then written together with the leader's key.
    Electing(CampaignLease),
}

/// The role of this node.
#[derive(Debug, Default)]
enum Role {
    #[default]
    Follower,
    Candidate(CampaignPhase),
    Leader(Box<Leader>),
}

/// The reason why a leader steps down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum StepDownReason {
    /// The state service names another leader.
    #[error("another node has become leader")]
    Superseded,
    /// The leader's lease has expired.
    #[error("the lease has expired")]
    LeaseExpired,
    /// A peer announces a higher term.
    #[error("a peer leads with a higher term")]
    PeerHasHigherTerm,
    /// A worker has seen a higher term.
    #[error("a worker has seen a higher term")]
    WorkerHasHigherTerm,
    /// Lease renewals or watches have not been answered for too long.
    #[error("no contact with the state service")]
    StoreUnreachable,
    /// A commit failed because the version of the leader's key has changed.
    #[error("a commit found another leader")]
    CommitConflict,
    /// All round numbers of the term are used.
    #[error("a new term is needed for more rounds")]
    RoundNumbersExhausted,
    /// Most workers stopped sending heartbeats at the same time.
    #[error("most workers can't be heard")]
    WorkersUnreachable,
}

/// The meaning of an observed leader record for this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaderObservation {
    /// A record of the same or a newer version was observed before.
    Outdated,
    /// The record is the newest, and this node either does not lead or wrote this record itself.
    Current,
    /// The record is the newest, and it replaces the one by which this node led.
    Superseded,
}

/// The role of this node and the leader that it has observed.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    role: Role,
    campaign: Retry,
    observed_leader: Option<ObservedLeader>,
    /// Highest term observed, from any source.
    highest_term: u64,
}

impl Leadership {
    /// Returns the leader's state if this node leads.
    pub(super) fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Returns the leader's state for modification if this node leads.
    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Returns the leader's state if this node leads and has read the records of earlier leaders.
    pub(super) fn recovered_leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader_mut().filter(|leader| leader.has_recovered())
    }

    /// Reports whether this node leads.
    pub(super) fn is_leading(&self) -> bool {
        self.leader().is_some()
    }

    /// Returns the leader according to the state service.
    pub(super) fn observed_leader(&self) -> Option<&ObservedLeader> {
        self.observed_leader.as_ref()
    }

    /// Returns the leader according to the state service if it is another node. A key that this
    /// node wrote before a restart does not count, because the process that held it has ended.
    pub(super) fn other_leader(&self, own_node: &str) -> Option<&ObservedLeader> {
        self.observed_leader
            .as_ref()
            .filter(|leader| leader.node != own_node)
    }

    /// Returns the highest term observed from any source.
    pub(super) fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Records an observed term.
    pub(super) fn observe_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Records a leader record read from the state service and returns what it means for this
    /// node.
    pub(super) fn observe_leader(&mut self, observed: ObservedLeader) -> LeaderObservation {
        let previous = self.observed_leader.as_ref();
        if previous.is_some_and(|previous| previous.version >= observed.version) {
            return LeaderObservation::Outdated;
        }
        self.observe_term(observed.term);
        let leader = self.leader();
        let superseded = leader.is_some_and(|leader| leader.version() < observed.version);
        self.observed_leader = Some(observed);
        match superseded {
            true => LeaderObservation::Superseded,
            false => LeaderObservation::Current,
        }
    }

    /// Records that versions of the leader's key up to `version` no longer exist. Returns whether
    /// that ends this node's own leadership.
    pub(super) fn observe_key_deleted(&mut self, version: u64) -> bool {
        let previous = self.observed_leader.as_ref();
        if previous.is_some_and(|previous| previous.version > version) {
            return false;
        }
        self.observed_leader = None;
        self.leader()
            .is_some_and(|leader| leader.version() <= version)
    }

    /// Reports whether this node is a follower whose next campaign is due.
    pub(super) fn is_campaign_due(&self, now: Timestamp) -> bool {
        matches!(self.role, Role::Follower) && self.campaign.is_due(now)
    }

    /// Becomes a candidate whose request for a lease is in flight.
    pub(super) fn begin_campaign(&mut self) {
        self.campaign.begin();
        self.role = Role::Candidate(CampaignPhase::RequestingLease);
    }

    /// Records that the campaign's lease was granted. Returns `false` if no campaign is running.
    pub(super) fn begin_election(&mut self, lease: CampaignLease) -> bool {
        let Role::Candidate(phase) = &mut self.role else {
            return false;
        };
        *phase = CampaignPhase::Electing(lease);
        true
    }

    /// Returns the lease of the campaign, if one has been granted.
    pub(super) fn campaign_lease(&self) -> Option<CampaignLease> {
        match self.role {
            Role::Candidate(CampaignPhase::Electing(lease)) => Some(lease),
            _ => None,
        }
    }

    /// Ends a campaign that failed or whose outcome is unknown. Returns its lease, which the caller
    /// revokes: the commit may have succeeded, and the leader's key would otherwise remain until
    /// the lease expires.
    pub(super) fn abandon_campaign(&mut self, context: &mut Context) -> Option<CampaignLease> {
        let lease = self.campaign_lease();
        if matches!(self.role, Role::Candidate(_)) {
            self.role = Role::Follower;
        }
        self.campaign.record_failure(context);
        lease
    }

    /// Becomes the leader after the election was committed.
    pub(super) fn become_leader(&mut self, node: String, leader: Leader, now: Timestamp) {
        self.campaign.record_success(now);
        self.observed_leader = Some(ObservedLeader {
            node,
            term: leader.term(),
            version: leader.version(),
        });
        self.observe_term(leader.term());
        self.role = Role::Leader(Box::new(leader));
    }

    /// Becomes a follower if this node leads, and returns the state of the term that has ended.
    pub(super) fn resign(&mut self, context: &mut Context) -> Option<Box<Leader>> {
        match std::mem::take(&mut self.role) {
            Role::Leader(leader) => {
                self.campaign.record_failure(context);
                Some(leader)
            }
            other => {
                self.role = other;
                None
            }
        }
    }

    /// Sets the earliest time of the next campaign.
    pub(super) fn postpone_campaign(&mut self, until: Timestamp) {
        self.campaign.postpone(until);
    }
}

#[cfg(test)]
mod tests;
