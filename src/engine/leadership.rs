//! This node's role, and what it knows of the leader.
//!
//! The leader is the node whose name stands under a key that is attached to a lease of the state
//! service. The commit that writes the key also raises the durable term, and succeeds only if key
//! and term are as read before; so terms are never used twice, and at most one leader's commits
//! succeed. `election.rs` takes the steps of a campaign, `authority.rs` says what a node may do.

use super::context::Context;
use super::leader::Leader;
use super::retry::Retry;
use crate::model::Timestamp;

/// The leader that the state service names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ObservedLeader {
    /// Name of its node.
    pub(super) node: String,
    /// Its term.
    pub(super) term: u64,
    /// Version of the leader's key.
    pub(super) version: u64,
}

/// The lease that a candidate has been granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CampaignLease {
    /// Id of the lease.
    pub(super) id: u64,
    /// When it was asked for.
    pub(super) sent_at: Timestamp,
}

/// How far a campaign has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CampaignPhase {
    /// The lease has been asked for.
    RequestingLease,
    /// The lease is granted; the term is read, then written with the leader's key.
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

/// Why a leader steps down.
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
    /// Neither renewals nor watches are answered.
    #[error("no contact with the state service")]
    StoreUnreachable,
    /// A commit failed on the leader's key.
    #[error("a commit found another leader")]
    CommitConflict,
    /// The term has no further round numbers.
    #[error("a new term is needed for more rounds")]
    RoundNumbersExhausted,
    /// Most workers have fallen silent at once.
    #[error("most workers can't be heard")]
    WorkersUnreachable,
}

/// What an observation of the leader's key means to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaderObservation {
    /// A newer one was observed before.
    Outdated,
    /// It is the newest, and this node does not lead or leads by this very key.
    Current,
    /// It is the newest, and this node has led until now.
    Superseded,
}

/// The role of this node and the leader that it knows of.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    role: Role,
    campaign: Retry,
    observed_leader: Option<ObservedLeader>,
    /// Highest term heard of, from any source.
    highest_term: u64,
}

impl Leadership {
    /// The leader's state, if this node leads.
    pub(super) fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// The leader's state, if this node leads.
    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// The leader's state, if this node leads and has read the records of earlier leaders.
    pub(super) fn recovered_leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader_mut().filter(|leader| leader.has_recovered())
    }

    /// Whether this node leads.
    pub(super) fn is_leading(&self) -> bool {
        self.leader().is_some()
    }

    /// The leader that the state service names.
    pub(super) fn observed_leader(&self) -> Option<&ObservedLeader> {
        self.observed_leader.as_ref()
    }

    /// The leader that the state service names, if it is not this node. (This node's own key from
    /// before a restart counts for nothing: that process is gone.)
    pub(super) fn other_leader(&self, own_node: &str) -> Option<&ObservedLeader> {
        self.observed_leader
            .as_ref()
            .filter(|leader| leader.node != own_node)
    }

    /// Highest term heard of.
    pub(super) fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// A term was heard of.
    pub(super) fn observe_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    /// The state service names a leader.
    pub(super) fn observe_leader(&mut self, observed: ObservedLeader) -> LeaderObservation {
        let known = self.observed_leader.as_ref();
        if known.is_some_and(|known| known.version >= observed.version) {
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

    /// The leader's key was deleted, up to that version. Whether that ends this node's own
    /// leadership.
    pub(super) fn observe_key_deleted(&mut self, version: u64) -> bool {
        let known = self.observed_leader.as_ref();
        if known.is_some_and(|known| known.version > version) {
            return false;
        }
        self.observed_leader = None;
        self.leader()
            .is_some_and(|leader| leader.version() <= version)
    }

    /// Whether this node is a follower and its next campaign is due.
    pub(super) fn is_campaign_due(&self, now: Timestamp) -> bool {
        matches!(self.role, Role::Follower) && self.campaign.is_due(now)
    }

    /// Becomes a candidate that asks for a lease.
    pub(super) fn begin_campaign(&mut self) {
        self.campaign.begin();
        self.role = Role::Candidate(CampaignPhase::RequestingLease);
    }

    /// The campaign's lease was granted; false if there is no campaign.
    pub(super) fn begin_election(&mut self, lease: CampaignLease) -> bool {
        let Role::Candidate(phase) = &mut self.role else {
            return false;
        };
        *phase = CampaignPhase::Electing(lease);
        true
    }

    /// The lease of the campaign, if it has one.
    pub(super) fn campaign_lease(&self) -> Option<CampaignLease> {
        match self.role {
            Role::Candidate(CampaignPhase::Electing(lease)) => Some(lease),
            _ => None,
        }
    }

    /// The campaign failed, or its outcome is unknown. Returns its lease, which must not linger
    /// with the leader's key.
    pub(super) fn abandon_campaign(&mut self, context: &mut Context) -> Option<CampaignLease> {
        let lease = self.campaign_lease();
        if matches!(self.role, Role::Candidate(_)) {
            self.role = Role::Follower;
        }
        self.campaign.record_failure(context);
        lease
    }

    /// This node has been elected.
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

    /// Becomes a follower. Returns the state of the term that has ended, if this node led.
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

    /// No campaign begins before that.
    pub(super) fn postpone_campaign(&mut self, until: Timestamp) {
        self.campaign.postpone(until);
    }
}

#[cfg(test)]
mod tests;
