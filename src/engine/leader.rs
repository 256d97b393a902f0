//! What only a leader has.

use super::autoscaling::Autoscaling;
use super::completions::Completions;
use super::machines::Machines;
use super::recovery::Recovery;
use super::rounds::Rounds;
use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::model::{FencingToken, MachineId, Timestamp};
use std::time::Duration;

/// The state of a leader in one term. Dropped as a whole when leadership is lost.
#[derive(Debug)]
pub(super) struct Leader {
    term: u64,
    version: u64,
    elected_at: Timestamp,
    returned_machines: BoundedMap<MachineId, ()>,
    pub(super) lease: LeaderLease,
    /// Set until the records of earlier leaders have been read.
    pub(super) recovery: Option<Recovery>,
    pub(super) machines: Machines,
    pub(super) rounds: Rounds,
    pub(super) completions: Completions,
    pub(super) autoscaling: Autoscaling,
    pub(super) scheduling: SchedulingTrigger,
}

impl Leader {
    /// A leader that was elected now: `version` is that of the leader's key.
    pub(super) fn new(term: u64, version: u64, lease: LeaderLease, now: Timestamp) -> Self {
        Leader {
            term,
            version,
            elected_at: now,
            returned_machines: BoundedMap::new(constants::MAX_RETURNED_MACHINES_REMEMBERED),
            lease,
            recovery: Some(Recovery::default()),
            machines: Machines::default(),
            rounds: Rounds::default(),
            completions: Completions::default(),
            autoscaling: Autoscaling::new(now),
            scheduling: SchedulingTrigger::new(now),
        }
    }

    /// The durable term: the upper part of fencing tokens and of attempt numbers.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Version of the leader's key: the condition on every commit.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// When the term began.
    pub(super) fn elected_at(&self) -> Timestamp {
        self.elected_at
    }

    /// Whether the records of earlier leaders have been read: before that, nothing is placed.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// The token to answer a machine with: of this term, and not below any that it has seen.
    pub(super) fn fencing_token_for(
        &self,
        machine: &MachineId,
        seen: FencingToken,
    ) -> FencingToken {
        let known = self.machines.get(machine);
        let known = known.map_or(FencingToken::default(), |machine| machine.fencing_token);
        FencingToken::first_of_term(self.term).max(known).max(seen)
    }

    /// Whether the machine was returned in this term. Late heartbeats and lagging lists still
    /// name it.
    pub(super) fn was_returned(&self, machine: &MachineId) -> bool {
        self.returned_machines.get(machine).is_some()
    }

    /// The cloud has taken the machine back.
    pub(super) fn record_returned(&mut self, machine: MachineId) {
        self.returned_machines.insert(machine, ());
    }
}

/// The lease of the state service that the leader's key is attached to.
#[derive(Debug)]
pub(super) struct LeaderLease {
    id: u64,
    /// Send time of the last renewal that succeeded.
    renewed_at: Timestamp,
    next_renewal_at: Timestamp,
    renewal_in_flight: bool,
}

impl LeaderLease {
    /// A lease that was asked for at `sent_at`.
    pub(super) fn new(id: u64, sent_at: Timestamp) -> Self {
        LeaderLease {
            id,
            renewed_at: sent_at,
            next_renewal_at: sent_at + constants::LEASE_RENEWAL_INTERVAL,
            renewal_in_flight: false,
        }
    }

    /// Id of the lease.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Whether the last successful renewal was sent less than `duration` ago.
    pub(super) fn was_renewed_within(&self, duration: Duration, now: Timestamp) -> bool {
        now < self.renewed_at + duration
    }

    /// Begins a renewal if one is due; whether it did.
    pub(super) fn begin_renewal_if_due(&mut self, now: Timestamp) -> bool {
        let due = !self.renewal_in_flight && now >= self.next_renewal_at;
        self.renewal_in_flight |= due;
        due
    }

    /// A renewal that was sent then succeeded.
    pub(super) fn on_renewed(&mut self, sent_at: Timestamp) {
        self.renewal_in_flight = false;
        self.renewed_at = self.renewed_at.max(sent_at);
        self.next_renewal_at = sent_at + constants::LEASE_RENEWAL_INTERVAL;
    }

    /// A renewal failed; the lease may be valid all the same.
    pub(super) fn on_renewal_failed(&mut self, now: Timestamp) {
        self.renewal_in_flight = false;
        self.next_renewal_at = now + constants::LEASE_RENEWAL_INTERVAL / 4;
    }
}

/// When the next scheduling pass is to be run.
#[derive(Debug)]
pub(super) struct SchedulingTrigger {
    /// Something has changed that may allow a placement.
    requested: bool,
    next_at: Timestamp,
}

impl SchedulingTrigger {
    fn new(now: Timestamp) -> Self {
        SchedulingTrigger {
            requested: true,
            next_at: now,
        }
    }

    /// Something has changed that may allow a placement.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a pass is wanted, due or not.
    pub(super) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Whether a pass is to be run now.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.requested && now >= self.next_at
    }

    /// A pass is run now; the next one follows some time later, so that changes that come in
    /// quick succession share it.
    pub(super) fn begin_pass(&mut self, now: Timestamp) {
        self.requested = false;
        self.next_at = now + constants::SCHEDULING_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
