//! Leadership: election, renewal of the lease, and stepping down.
//!
//! The leader is whose name stands under a key that is bound to a lease of the state service. The
//! commit that writes the key also raises the durable term, and succeeds only if key and term are
//! as read before; so terms are never used twice, and at most one leader's commits succeed.

use super::records::{self, LEAD, LeadRecord, TERM, TermRecord};
use super::{Engine, Holder, Leader, Op, Role, ends, provisioning, recovery, rounds};
use crate::constants as k;
use crate::model::Ms;
use crate::peer::Announcement;
use crate::recent::Recent;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Txn;

/// Less what the steady clock may have lost.
fn less_drift(ms: u64) -> u64 {
    ms - ms * k::DRIFT_PPM / 1_000_000
}

impl Engine {
    /// The state service names the leader.
    pub(super) fn on_leader_seen(&mut self, seen: Holder) {
        if self
            .holder
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
        self.holder = Some(seen);
    }

    /// The leader's key was deleted, up to that version.
    pub(super) fn on_leader_gone(&mut self, version: u64) {
        if self.holder.as_ref().is_some_and(|h| h.version > version) {
            return;
        }
        self.holder = None;
        if self.leader().is_some_and(|l| l.version <= version) {
            self.step_down("the lease has ended");
        }
    }

    /// A peer's announcement came in.
    pub(super) fn on_announced(&mut self, said: Announcement) {
        if self.settings.peers.iter().any(|p| p.node == said.node) {
            self.peers.insert(said.node, (self.now, said.store_ok));
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
        let ttl = less_drift(k::LEASE_TTL_MS);
        self.leader().is_some_and(|l| self.now < l.renewed + ttl)
            && self.fresh_at.is_some_and(|at| self.now < at + ttl)
    }

    /// Whether this node may still answer reports, which renews workers' leases. Bounded, so
    /// that a cancellation it has not heard of still ends in time: see the timing's grace.
    pub(super) fn may_answer(&self) -> bool {
        let grace = self.leader_grace();
        self.leader().is_some_and(|l| self.now < l.renewed + grace)
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
            true => self.timing.grace / 2,
            false => self.timing.grace,
        }
    }

    /// The leader for which this node may answer reports in its absence: the state service says
    /// that it leads, and it can't be heard. Whoever can't reach it from here is answered only
    /// to keep its lease and to be told of cancellations; the right ends, as the leader's own
    /// does, with the grace after the last proof of knowing all cancellations.
    pub(super) fn unreachable_leader(&self) -> Option<&Holder> {
        let holder = self
            .holder
            .as_ref()
            .filter(|h| h.node != self.settings.node)?;
        let knows = self.knows_cancellations(self.timing.grace);
        (knows && !self.hears(&holder.node)).then_some(holder)
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
        if !leader.renewing && now >= leader.next_renewal_at {
            leader.renewing = true;
            let lease = leader.lease;
            self.store(Op::RenewLease { sent: now }, StoreCall::Touch { lease });
        } else if !self.may_answer() {
            self.step_down("no contact with the state service");
        }
    }

    /// Begins a campaign with a lease of its own, if nobody leads and this node is up to date.
    fn campaign_when_due(&mut self) {
        let now = self.now;
        let vacant = self
            .holder
            .as_ref()
            .is_none_or(|h| h.node == self.settings.node);
        let current = self.revision.is_some() && self.store_ok();
        if vacant && current && self.types.is_some() && self.campaign.due(now) {
            self.campaign.busy = true;
            self.role = Role::Campaign { lease: None };
            let call = StoreCall::Hold {
                ttl_ms: k::LEASE_TTL_MS,
            };
            self.store(Op::CampaignLease { sent: now }, call);
        }
    }

    /// The campaign's lease was granted: the durable term is read next.
    pub(super) fn on_campaign_lease(&mut self, sent: Ms, result: Result<StoreReply, StoreError>) {
        match (&mut self.role, result) {
            (Role::Campaign { lease }, Ok(StoreReply::Held { lease: held })) => {
                *lease = Some((held, sent));
                self.store(Op::CampaignTerm, StoreCall::Get { key: TERM.into() });
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
            Ok(StoreReply::Got(None)) => (0, 0),
            Ok(StoreReply::Got(Some(item))) => match records::read::<TermRecord>(item.value) {
                Some(record) => (record.term, item.version),
                None => {
                    tracing::error!(key = TERM, "record can't be read, nobody can lead");
                    return self.end_campaign();
                }
            },
            _ => return self.end_campaign(),
        };
        // Another node may have become leader since the campaign began.
        let held_by = self.holder.as_ref();
        if held_by.is_some_and(|h| h.node != self.settings.node) {
            return self.end_campaign();
        }
        let lead_version = held_by.map_or(0, |h| h.version);
        let term = last.max(self.term_heard) + 1;
        let lead = LeadRecord {
            node: self.settings.node.clone(),
            term,
        };
        let txn = Txn::default()
            .when(LEAD, lead_version)
            .when(TERM, version)
            .put_leased(LEAD, records::value(&lead), lease)
            .put(TERM, records::value(&TermRecord { term }));
        self.store(Op::CampaignCommit { term }, StoreCall::Commit(txn));
    }

    /// The outcome of the commit that makes this node the leader.
    pub(super) fn on_elected(&mut self, term: u64, result: Result<StoreReply, StoreError>) {
        let Role::Campaign {
            lease: Some((lease, sent)),
        } = self.role
        else {
            return self.end_campaign();
        };
        let Ok(StoreReply::Committed { revision }) = result else {
            return self.end_campaign();
        };
        self.campaign.worked(self.now);
        tracing::info!(term, "became leader");
        self.holder = Some(Holder {
            node: self.settings.node.clone(),
            term,
            version: revision,
        });
        self.term_heard = self.term_heard.max(term);
        self.forget_placements();
        // Outcomes of calls from an earlier term mean nothing in this one.
        self.ops.retain(|_, op| !op.is_leaders());
        self.role = Role::Leader(Box::new(Leader {
            term,
            version: revision,
            lease,
            renewed: sent,
            next_renewal_at: sent + k::LEASE_RENEW_MS,
            renewing: false,
            loading: Some(recovery::Loading::default()),
            since: self.now,
            machines: Default::default(),
            gone: Recent::new(k::GONE_REMEMBERED),
            rounds: rounds::Rounds::default(),
            ends: ends::Ends::default(),
            provisioning: provisioning::Provisioning::new(self.now),
            dirty: true,
            place_at: self.now,
        }));
    }

    /// The campaign failed, or its outcome is unknown: its lease must not linger with the key.
    fn end_campaign(&mut self) {
        if let Role::Campaign { lease } = &self.role {
            if let Some((lease, _)) = *lease {
                self.store(Op::Forgotten, StoreCall::Drop { lease });
            }
            self.role = Role::Follower;
        }
        self.campaign.failed(self.now, &mut self.rng);
    }

    /// The outcome of a renewal.
    pub(super) fn on_lease_renewed(&mut self, sent: Ms, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        leader.renewing = false;
        match result {
            Ok(_) => {
                leader.renewed = leader.renewed.max(sent);
                leader.next_renewal_at = sent + k::LEASE_RENEW_MS;
            }
            Err(StoreError::NoLease) => self.step_down("the lease has ended"),
            Err(e) => {
                tracing::debug!("renewal: {e}");
                leader.next_renewal_at = now + k::LEASE_RENEW_MS / 4;
            }
        }
    }

    /// Gives up leadership, if this node leads, and everything that only a leader knows.
    pub(super) fn step_down(&mut self, why: &str) {
        if let Role::Leader(leader) = &self.role {
            tracing::info!(term = leader.term, "gave up leadership: {why}");
            let lease = leader.lease;
            // Outcomes that come in later would meet jobs of which no placement and no end is known
            // any more: the end of one that is done once counted as its cancellation.
            self.ops.retain(|_, op| !op.is_leaders());
            self.store(Op::Forgotten, StoreCall::Drop { lease });
            self.role = Role::Follower;
            self.forget_placements();
            self.campaign.failed(self.now, &mut self.rng);
        }
    }

    /// What only a leader knows of jobs is not carried from one term to the next.
    fn forget_placements(&mut self) {
        for job in self.jobs.values_mut() {
            let fresh = crate::model::Job::new(
                job.spec.clone(),
                job.version,
                job.submitted,
                job.phase,
                job.seen,
            );
            *job = crate::model::Job {
                ready: job.ready,
                needed: job.needed,
                ..fresh
            };
        }
        self.jobs
            .retain(|_, job| !matches!(job.phase, crate::model::Phase::Done { written: true }));
        for job in self.jobs.values_mut() {
            if matches!(job.phase, crate::model::Phase::Done { .. }) {
                job.phase = crate::model::Phase::Open;
            }
        }
    }
}
