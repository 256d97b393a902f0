//! The state that only a leader has.

use super::autoscaling::Autoscaling;
use super::completions::Completions;
use super::machines::Machines;
use super::recovery::Recovery;
use super::rounds::Rounds;
use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::model::{FencingToken, MachineId, Timestamp};
use std::time::Duration;

/// The state of a leader in one term. It is dropped as a whole when the node loses leadership.
#[derive(Debug)]
pub(super) struct Leader {
    term: u64,
    version: u64,
    elected_at: Timestamp,
    returned_machines: BoundedMap<MachineId, ()>,
    pub(super) lease: LeaderLease,
    /// Progress of the recovery; `None` once the records of earlier leaders have been read.
    pub(super) recovery: Option<Recovery>,
    pub(super) machines: Machines,
    pub(super) rounds: Rounds,
    pub(super) completions: Completions,
    pub(super) autoscaling: Autoscaling,
    pub(super) scheduling: SchedulingTrigger,
}

impl Leader {
    /// Creates the state of a leader that is elected at `now`. `version` is the version of the
    /// leader's key.
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

    /// Returns the durable term, which forms the upper part of fencing tokens and attempt numbers.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the version of the leader's key, which every commit of the leader compares.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time at which the term began.
    pub(super) fn elected_at(&self) -> Timestamp {
        self.elected_at
    }

    /// Reports whether the records of earlier leaders have been read. Nothing is placed before
    /// that.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Returns the fencing token for a response to a machine. The token belongs to this term or a
    /// later one and is not lower than any token that the machine has seen.
    pub(super) fn fencing_token_for(
        &self,
        machine: &MachineId,
        seen: FencingToken,
    ) -> FencingToken {
        let sent = self.machines.get(machine);
        let sent = sent.map_or(FencingToken::default(), |machine| machine.fencing_token);
        FencingToken::first_of_term(self.term).max(sent).max(seen)
    }

    /// Reports whether the machine was returned to the cloud in this term. Late heartbeats and
    /// lagging machine lists can still name such a machine.
    pub(super) fn was_returned(&self, machine: &MachineId) -> bool {
        self.returned_machines.get(machine).is_some()
    }

    /// Records that the machine was returned to the cloud.
    pub(super) fn record_returned(&mut self, machine: MachineId) {
        self.returned_machines.insert(machine, ());
    }
}

/// The lease of the state service to which the leader's key is attached.
#[derive(Debug)]
pub(super) struct LeaderLease {
    id: u64,
    /// Send time of the last renewal that succeeded, or of the request for the lease.
    renewed_at: Timestamp,
    next_renewal_at: Timestamp,
    renewal_in_flight: bool,
}

impl LeaderLease {
    /// Creates a lease whose request was sent at `sent_at`.
    pub(super) fn new(id: u64, sent_at: Timestamp) -> Self {
        LeaderLease {
            id,
            renewed_at: sent_at,
            next_renewal_at: sent_at + constants::LEASE_RENEWAL_INTERVAL,
            renewal_in_flight: false,
        }
    }

    /// Returns the id that the state service gave the lease.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Reports whether the last successful renewal was sent less than `duration` ago.
    pub(super) fn was_renewed_within(&self, duration: Duration, now: Timestamp) -> bool {
        now < self.renewed_at + duration
    }

    /// Marks a renewal as in flight if one is due. Returns whether it is due.
    pub(super) fn begin_renewal_if_due(&mut self, now: Timestamp) -> bool {
        let due = !self.renewal_in_flight && now >= self.next_renewal_at;
        self.renewal_in_flight |= due;
        due
    }

    /// Records that the renewal sent at `sent_at` succeeded.
    pub(super) fn on_renewed(&mut self, sent_at: Timestamp) {
        self.renewal_in_flight = false;
        self.renewed_at = self.renewed_at.max(sent_at);
        self.next_renewal_at = sent_at + constants::LEASE_RENEWAL_INTERVAL;
    }

    /// Records that a renewal failed; the lease may still be valid. The next renewal follows after
    /// a quarter of the renewal interval.
    pub(super) fn on_renewal_failed(&mut self, now: Timestamp) {
        self.renewal_in_flight = false;
        self.next_renewal_at = now + constants::LEASE_RENEWAL_INTERVAL / 4;
    }
}

/// Decides when the next scheduling pass runs.
#[derive(Debug)]
pub(super) struct SchedulingTrigger {
    /// Set if a change since the last pass may allow a placement.
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

    /// Requests a pass because a change may allow a placement.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Reports whether a pass is requested, even if it is not due yet.
    pub(super) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Reports whether a pass is requested and due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.requested && now >= self.next_at
    }

    /// Records that a pass runs now. The next pass runs no earlier than one interval later, so that
    /// changes in quick succession are handled by one pass.
    pub(super) fn begin_pass(&mut self, now: Timestamp) {
        self.requested = false;
        self.next_at = now + constants::SCHEDULING_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
