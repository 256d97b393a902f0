//! Leadership: election, renewal of the lease, and stepping down.
//!
//! The leader is whose name stands under a key that is bound to a lease of the state service. The
//! commit that writes the key also raises the durable term, and succeeds only if key and term are
//! as read before; so terms are never used twice, and at most one leader's commits succeed.

use super::records::{self, LEAD, LeadRecord, TERM, TermRecord};
use super::{
    Engine, Leader, ObservedLeader, PendingCall, Role, autoscaling, completions, recovery, rounds,
};
use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::model::Ms;
use crate::peer::Announcement;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Transaction;

/// Less what the steady clock may have lost.
fn less_drift(ms: u64) -> u64 {
    ms - ms * constants::DRIFT_PPM / 1_000_000
}

impl Engine {
    /// The state service names the leader.
    pub(super) fn on_leader_seen(&mut self, seen: ObservedLeader) {
        if self
            .observed_leader
            .as_ref()
            .is_some_and(|h| h.version >= seen.version)
        {
            return;
        }
        self.term_heard = self.term_heard.max(seen.term);
        tracing::info!(leader = seen.node, term = seen.term, "leader seen");
        if self.leader().is_some_and(|l| l.version < seen.version) {
            self.step_down("another node has become leader");
        }
        // Its own key from before a restart: that process is gone, so there is nobody to wait
        // for.
        self.observed_leader = Some(seen);
    }

    /// The leader's key was deleted, up to that version.
    pub(super) fn on_leader_gone(&mut self, version: u64) {
        if self
            .observed_leader
            .as_ref()
            .is_some_and(|h| h.version > version)
        {
            return;
        }
        self.observed_leader = None;
        if self.leader().is_some_and(|l| l.version <= version) {
            self.step_down("the lease has ended");
        }
    }

    /// A peer's announcement came in.
    pub(super) fn on_announced(&mut self, said: Announcement) {
        if self.settings.peers.iter().any(|p| p.node == said.node) {
            self.peers
                .insert(said.node, (self.now, said.store_reachable));
        }
        self.term_heard = self.term_heard.max(said.term);
        // A leader that the state service refuses hears of its successor this way.
        if self.leader().is_some_and(|l| l.term < said.term) {
            self.step_down("a peer leads with a higher term");
        }
    }

    /// Whether this node may start things: it leads, its lease is surely valid, and it has heard of
    /// all changes within the lease's time.
    pub(super) fn holds_valid_lease(&self) -> bool {
        let ttl = less_drift(constants::LEASE_TTL_MS);
        self.leader()
            .is_some_and(|l| self.now < l.lease_renewed_at + ttl)
            && self.fresh_at.is_some_and(|at| self.now < at + ttl)
    }

    /// Whether this node may still answer reports, which renews workers' leases. Bounded, so
    /// that a cancellation it has not heard of still ends in time: see the timing's grace.
    pub(super) fn may_respond(&self) -> bool {
        let grace = self.leader_grace();
        self.leader()
            .is_some_and(|l| self.now < l.lease_renewed_at + grace)
            && self.knows_cancellations(grace)
    }

    /// Whether it has heard of all cancellations within the grace.
    fn knows_cancellations(&self, grace: Ms) -> bool {
        self.fresh_at.is_some_and(|at| self.now < at + grace)
    }

    /// For how long after its last news a leader still answers reports. One that hears no peer
    /// either has more likely lost its own connections than lived through an outage: its
    /// successor is at work by then and waits for the workers, so it lets them go sooner. (A
    /// follower that serves workers for the leader redirects them now and then and need not: in a
    /// zone that is cut off, what they run would end for nothing.)
    fn leader_grace(&self) -> Ms {
        match self.is_alone() {
            true => self.timing.leader_grace / 2,
            false => self.timing.leader_grace,
        }
    }

    /// The leader for which this node may answer reports in its absence: the state service says
    /// that it leads, and it can't be heard. Whoever can't reach it from here is answered only
    /// to keep its lease and to be told of cancellations; the right completions, as the leader's own
    /// does, with the grace after the last proof of knowing all cancellations.
    pub(super) fn unreachable_leader(&self) -> Option<&ObservedLeader> {
        let observed_leader = self
            .observed_leader
            .as_ref()
            .filter(|h| h.node != self.settings.node)?;
        let knows = self.knows_cancellations(self.timing.leader_grace);
        (knows && !self.hears(&observed_leader.node)).then_some(observed_leader)
    }

    /// Renews the lease, steps down or stands for election, as is due.
    pub(super) fn maintain_leadership(&mut self) {
        match &self.role {
            Role::Leader(_) => self.renew_or_step_down(),
            Role::Follower => self.campaign_when_due(),
            Role::Campaign { .. } => {}
        }
    }

    fn renew_or_step_down(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        if !leader.renewal_in_flight && now >= leader.next_renewal_at {
            leader.renewal_in_flight = true;
            let lease = leader.lease;
            self.call_store(
                PendingCall::RenewLease { sent_at: now },
                StoreCall::KeepAlive { lease },
            );
        } else if !self.may_respond() {
            self.step_down("no contact with the state service");
        }
    }

    /// Begins a campaign with a lease of its own, if nobody leads and this node is up to date.
    fn campaign_when_due(&mut self) {
        let now = self.now;
        let vacant = self
            .observed_leader
            .as_ref()
            .is_none_or(|h| h.node == self.settings.node);
        let current = self.revision.is_some() && self.store_reachable();
        if vacant && current && self.machine_types.is_some() && self.campaign.due(now) {
            self.campaign.busy = true;
            self.role = Role::Campaign { lease: None };
            let call = StoreCall::GrantLease {
                ttl_ms: constants::LEASE_TTL_MS,
            };
            self.call_store(PendingCall::GrantCampaignLease { sent_at: now }, call);
        }
    }

    /// The campaign's lease was granted: the durable term is read next.
    pub(super) fn on_campaign_lease(
        &mut self,
        sent_at: Ms,
        result: Result<StoreReply, StoreError>,
    ) {
        match (&mut self.role, result) {
            (Role::Campaign { lease }, Ok(StoreReply::LeaseGranted { lease: held })) => {
                *lease = Some((held, sent_at));
                self.call_store(PendingCall::ReadTerm, StoreCall::Get { key: TERM.into() });
            }
            _ => self.end_campaign(),
        }
    }

    /// The durable term was read: this node's name and a higher term are written.
    pub(super) fn on_term_read(&mut self, result: Result<StoreReply, StoreError>) {
        let Role::Campaign {
            lease: Some((lease, _)),
        } = self.role
        else {
            return self.end_campaign();
        };
        let (last, version) = match result {
            Ok(StoreReply::Item(None)) => (0, 0),
            Ok(StoreReply::Item(Some(item))) => match records::read::<TermRecord>(item.value) {
                Some(record) => (record.term, item.version),
                None => {
                    tracing::error!(key = TERM, "record can't be read, nobody can lead");
                    return self.end_campaign();
                }
            },
            _ => return self.end_campaign(),
        };
        // Another node may have become leader since the campaign began.
        let held_by = self.observed_leader.as_ref();
        if held_by.is_some_and(|h| h.node != self.settings.node) {
            return self.end_campaign();
        }
        let lead_version = held_by.map_or(0, |h| h.version);
        let term = last.max(self.term_heard) + 1;
        let lead = LeadRecord {
            node: self.settings.node.clone(),
            term,
        };
        let txn = Transaction::default()
            .compare(LEAD, lead_version)
            .compare(TERM, version)
            .put_with_lease(LEAD, records::value(&lead), lease)
            .put(TERM, records::value(&TermRecord { term }));
        self.call_store(PendingCall::CommitElection { term }, StoreCall::Commit(txn));
    }

    /// The outcome of the commit that makes this node the leader.
    pub(super) fn on_elected(&mut self, term: u64, result: Result<StoreReply, StoreError>) {
        let Role::Campaign {
            lease: Some((lease, sent_at)),
        } = self.role
        else {
            return self.end_campaign();
        };
        let Ok(StoreReply::Committed { revision }) = result else {
            return self.end_campaign();
        };
        self.campaign.worked(self.now);
        tracing::info!(term, "became leader");
        self.observed_leader = Some(ObservedLeader {
            node: self.settings.node.clone(),
            term,
            version: revision,
        });
        self.term_heard = self.term_heard.max(term);
        self.forget_placements();
        // Outcomes of calls from an earlier term mean nothing in this one.
        self.ops.retain(|_, call_id| !call_id.is_leaders());
        self.role = Role::Leader(Box::new(Leader {
            term,
            version: revision,
            lease,
            lease_renewed_at: sent_at,
            next_renewal_at: sent_at + constants::LEASE_RENEWAL_INTERVAL_MS,
            renewal_in_flight: false,
            recovery: Some(recovery::Recovery::default()),
            elected_at: self.now,
            machines: Default::default(),
            returned_machines: BoundedMap::new(constants::MAX_RETURNED_MACHINES_REMEMBERED),
            rounds: rounds::Rounds::default(),
            completions: completions::Completions::default(),
            autoscaling: autoscaling::Autoscaling::new(self.now),
            needs_scheduling: true,
            next_scheduling_at: self.now,
        }));
    }

    /// The campaign failed, or its outcome is unknown: its lease must not linger with the key.
    fn end_campaign(&mut self) {
        if let Role::Campaign { lease } = &self.role {
            if let Some((lease, _)) = *lease {
                self.call_store(PendingCall::Untracked, StoreCall::RevokeLease { lease });
            }
            self.role = Role::Follower;
        }
        self.campaign.failed(self.now, &mut self.rng);
    }

    /// The outcome of a renewal.
    pub(super) fn on_lease_renewed(&mut self, sent_at: Ms, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        leader.renewal_in_flight = false;
        match result {
            Ok(_) => {
                leader.lease_renewed_at = leader.lease_renewed_at.max(sent_at);
                leader.next_renewal_at = sent_at + constants::LEASE_RENEWAL_INTERVAL_MS;
            }
            Err(StoreError::NoLease) => self.step_down("the lease has ended"),
            Err(e) => {
                tracing::debug!("renewal: {e}");
                leader.next_renewal_at = now + constants::LEASE_RENEWAL_INTERVAL_MS / 4;
            }
        }
    }

    /// Gives up leadership, if this node leads, and everything that only a leader knows.
    pub(super) fn step_down(&mut self, reason: &str) {
        if let Role::Leader(leader) = &self.role {
            tracing::info!(term = leader.term, "gave up leadership: {reason}");
            let lease = leader.lease;
            // Outcomes that come in later would meet jobs of which no placement and no end is known
            // any more: the end of one that is done once counted as its cancellation.
            self.ops.retain(|_, call_id| !call_id.is_leaders());
            self.call_store(PendingCall::Untracked, StoreCall::RevokeLease { lease });
            self.role = Role::Follower;
            self.forget_placements();
            self.campaign.failed(self.now, &mut self.rng);
        }
    }

    /// What only a leader knows of jobs is not carried from one term to the next.
    fn forget_placements(&mut self) {
        for job in self.jobs.values_mut() {
            job.forget_leader_state();
        }
        self.jobs
            .retain(|_, job| !matches!(job.phase, crate::model::JobPhase::Done { recorded: true }));
        for job in self.jobs.values_mut() {
            if matches!(job.phase, crate::model::JobPhase::Done { .. }) {
                job.phase = crate::model::JobPhase::Open;
            }
        }
    }
}
