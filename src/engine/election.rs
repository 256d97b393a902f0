//! Steps of an election: campaigning, renewing the leader's lease, and stepping down.

use super::Engine;
use super::leader::{Leader, LeaderLease};
use super::leadership::{CampaignLease, LeaderObservation, ObservedLeader, StepDownReason};
use super::messages::PendingCall;
use super::records::{self, LEADER_KEY, LeaderRecord, TERM_KEY, TermRecord};
use crate::constants;
use crate::model::Timestamp;
use crate::peer::Announcement;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::{Item, Transaction};

/// The durable term, as read from the state service.
struct StoredTerm {
    term: u64,
    /// Version of the term's key; 0 if the key does not exist.
    version: u64,
}

impl Engine {
    /// Handles a leader record read from the state service. Steps down if the record shows that
    /// another node has replaced this leader.
    pub(super) fn on_leader_observed(&mut self, observed: ObservedLeader) {
        let (leader, term) = (observed.node.clone(), observed.term);
        let observation = self.leadership.observe_leader(observed);
        if observation == LeaderObservation::Outdated {
            return;
        }
        tracing::info!(leader, term, "leader observed");
        if observation == LeaderObservation::Superseded {
            self.step_down(StepDownReason::Superseded);
        }
    }

    /// Handles the deletion of the leader's key: versions of the key up to `version` no longer
    /// exist.
    pub(super) fn on_leader_key_deleted(&mut self, version: u64) {
        if self.leadership.observe_key_deleted(version) {
            self.step_down(StepDownReason::LeaseExpired);
        }
    }

    /// Handles the announcement of a peer.
    pub(super) fn on_peer_announced(&mut self, announcement: &Announcement) {
        self.peers.record(announcement, self.context.now());
        self.leadership.observe_term(announcement.term);
        // A leader whose calls the state service refuses learns of its successor from this
        // announcement.
        let leader = self.leadership.leader();
        if leader.is_some_and(|leader| leader.term() < announcement.term) {
            self.step_down(StepDownReason::PeerHasHigherTerm);
        }
    }

    /// Renews the lease, steps down, or begins a campaign, whichever is due.
    pub(super) fn maintain_leadership(&mut self) {
        if self.leadership.is_leading() {
            self.renew_lease_or_step_down();
        } else {
            self.campaign_when_due();
        }
    }

    fn renew_lease_or_step_down(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if leader.lease.begin_renewal_if_due(now) {
            let lease = leader.lease.id();
            self.outbox.call_store(
                PendingCall::RenewLease { sent_at: now },
                StoreCall::KeepAlive { lease },
            );
        } else if !self.may_respond_as_leader() {
            self.step_down(StepDownReason::StoreUnreachable);
        }
    }

    /// Begins a campaign if no other node leads, this node's view of the live records is current,
    /// and a campaign is due.
    fn campaign_when_due(&mut self) {
        let now = self.context.now();
        let own_node = &self.context.settings().node;
        let is_vacant = self.leadership.other_leader(own_node).is_none();
        let is_view_current = self.live.is_listed() && self.live.is_fresh(now);
        let can_lead = is_view_current && self.machine_types.is_known();
        if is_vacant && can_lead && self.leadership.is_campaign_due(now) {
            self.leadership.begin_campaign();
            let call = StoreCall::GrantLease {
                ttl: constants::LEASE_TTL,
            };
            self.outbox
                .call_store(PendingCall::GrantCampaignLease { sent_at: now }, call);
        }
    }

    /// Handles the outcome of the request for the campaign's lease. If the lease was granted, reads
    /// the durable term next.
    pub(super) fn on_campaign_lease(
        &mut self,
        sent_at: Timestamp,
        result: Result<StoreReply, StoreError>,
    ) {
        let Ok(StoreReply::LeaseGranted { lease: id }) = result else {
            return self.abandon_campaign();
        };
        if !self
            .leadership
            .begin_election(CampaignLease { id, sent_at })
        {
            return self.abandon_campaign();
        }
        let call = StoreCall::Get {
            key: TERM_KEY.into(),
        };
        self.outbox.call_store(PendingCall::ReadTerm, call);
    }

    /// Handles the durable term that was read: commits this node's name as leader with a higher
    /// term.
    pub(super) fn on_term_read(&mut self, result: Result<StoreReply, StoreError>) {
        let Some(lease) = self.leadership.campaign_lease() else {
            return self.abandon_campaign();
        };
        let stored = match result {
            Ok(StoreReply::Item(item)) => StoredTerm::read(item),
            _ => None,
        };
        let Some(stored) = stored else {
            return self.abandon_campaign();
        };
        // Another node may have become leader since the campaign began.
        let own_node = self.context.settings().node.clone();
        if self.leadership.other_leader(&own_node).is_some() {
            return self.abandon_campaign();
        }
        let observed = self.leadership.observed_leader();
        let leader_version = observed.map_or(0, |leader| leader.version);
        let term = stored.term.max(self.leadership.highest_term()) + 1;
        let leader = LeaderRecord {
            node: own_node,
            term,
        };
        let transaction = Transaction::default()
            .compare(LEADER_KEY, leader_version)
            .compare(TERM_KEY, stored.version)
            .put_with_lease(LEADER_KEY, records::to_value(&leader), lease.id)
            .put(TERM_KEY, records::to_value(&TermRecord { term }));
        self.outbox.call_store(
            PendingCall::CommitElection { term },
            StoreCall::Commit(transaction),
        );
    }

    /// Handles the outcome of the commit that makes this node the leader.
    pub(super) fn on_election_committed(
        &mut self,
        term: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        let Some(lease) = self.leadership.campaign_lease() else {
            return self.abandon_campaign();
        };
        let Ok(StoreReply::Committed { revision }) = result else {
            return self.abandon_campaign();
        };
        let now = self.context.now();
        tracing::info!(term, "became leader");
        self.jobs.forget_leader_state();
        self.outbox.drop_leader_calls();
        let lease = LeaderLease::new(lease.id, lease.sent_at);
        let leader = Leader::new(term, revision, lease, now);
        let node = self.context.settings().node.clone();
        self.leadership.become_leader(node, leader, now);
    }

    /// Ends a campaign that failed or whose outcome is unknown, and revokes its lease.
    fn abandon_campaign(&mut self) {
        if let Some(lease) = self.leadership.abandon_campaign(&mut self.context) {
            let call = StoreCall::RevokeLease { lease: lease.id };
            self.outbox.call_store(PendingCall::Untracked, call);
        }
    }

    /// Handles the outcome of a lease renewal.
    pub(super) fn on_lease_renewed(
        &mut self,
        sent_at: Timestamp,
        result: Result<StoreReply, StoreError>,
    ) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        match result {
            Ok(_) => leader.lease.on_renewed(sent_at),
            Err(StoreError::LeaseNotFound) => self.step_down(StepDownReason::LeaseExpired),
            Err(error) => {
                tracing::debug!(%error, "lease renewal failed");
                leader.lease.on_renewal_failed(now);
            }
        }
    }

    /// Gives up leadership, if this node leads, and drops all state that only a leader has.
    pub(super) fn step_down(&mut self, reason: StepDownReason) {
        let Some(leader) = self.leadership.resign(&mut self.context) else {
            return;
        };
        tracing::info!(term = leader.term(), %reason, "stepped down");
        // Outcomes that arrive later would apply to jobs whose placements and completions have been
        // dropped.
        self.outbox.drop_leader_calls();
        let call = StoreCall::RevokeLease {
            lease: leader.lease.id(),
        };
        self.outbox.call_store(PendingCall::Untracked, call);
        self.jobs.forget_leader_state();
    }
}

impl StoredTerm {
    /// Decodes the record under the term's key. Returns term 0 if the key does not exist, and
    /// `None` if the record can't be decoded.
    fn read(item: Option<Item>) -> Option<StoredTerm> {
        let Some(item) = item else {
            return Some(StoredTerm {
                term: 0,
                version: 0,
            });
        };
        let Some(record) = records::from_value::<TermRecord>(item.value) else {
            tracing::error!(
                key = TERM_KEY,
                consequence = "no node can be elected",
                "unreadable record"
            );
            return None;
        };
        Some(StoredTerm {
            term: record.term,
            version: item.version,
        })
    }
}
