//! What a node has done with the workers of a leader that it can't reach.

use crate::constants;
use crate::model::{MachineId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a node has done with one worker.
#[derive(Debug, Clone, Copy, Default)]
struct Redirect {
    /// When the worker was last redirected to the leader.
    redirected_at: Timestamp,
    /// Until when it is answered in the leader's place.
    served_until: Timestamp,
}

impl Redirect {
    /// Whether it is to be remembered: for a worker's lease after either.
    fn is_recent(&self, now: Timestamp, lease: Duration) -> bool {
        now < self.redirected_at.max(self.served_until) + lease
    }
}

/// The workers that were redirected, or are answered in the leader's place.
#[derive(Debug, Default)]
pub(in crate::engine) struct Redirects {
    by_machine: BTreeMap<MachineId, Redirect>,
    next_cleanup_at: Timestamp,
}

impl Redirects {
    /// Whether to answer this worker in the place of a leader that can't be reached from here, or
    /// to redirect it to that leader once more. That this node doesn't hear the leader does not mean
    /// that the worker can't reach it: connections between nodes may be refused while all else
    /// works, and a new machine must not be kept from its leader. A worker that knows the term has
    /// lost its leader; any other is redirected first, and answered when it comes back; and all are
    /// redirected again after half a lease.
    pub(super) fn serves(
        &mut self,
        machine: MachineId,
        knows_term: bool,
        now: Timestamp,
        lease: Duration,
    ) -> bool {
        self.forget_old(now, lease);
        let known = self.by_machine.get(&machine).copied();
        let known = known.filter(|redirect| redirect.is_recent(now, lease));
        if known.is_some_and(|redirect| now < redirect.served_until) {
            return true;
        }
        // Redirected, and back before its lease could have expired; or never redirected here.
        let came_back = known.map_or(knows_term, |redirect| {
            redirect.redirected_at > redirect.served_until
        });
        let full = self.by_machine.len() >= constants::MAX_REDIRECTS_REMEMBERED;
        if full && known.is_none() {
            return came_back;
        }
        let mut redirect = known.unwrap_or_default();
        if came_back {
            redirect.served_until = now + lease / 2;
        } else {
            redirect.redirected_at = now;
        }
        self.by_machine.insert(machine, redirect);
        came_back
    }

    /// Not at each heartbeat: there may be thousands of both.
    fn forget_old(&mut self, now: Timestamp, lease: Duration) {
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + constants::HOUSEKEEPING_INTERVAL;
            self.by_machine
                .retain(|_, redirect| redirect.is_recent(now, lease));
        }
    }
}

#[cfg(test)]
mod tests;
