//! Records what a follower has done with the workers of a leader that the follower can't reach:
//! redirected them to the leader, or served them in the leader's place.

use crate::constants;
use crate::model::{MachineId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// The redirects and responses that a follower has given to one worker.
#[derive(Debug, Clone, Copy, Default)]
struct Redirect {
    /// Time at which the worker was last redirected to the leader.
    redirected_at: Timestamp,
    /// Time until which the worker is served in the leader's place.
    served_until: Timestamp,
}

impl Redirect {
    /// Reports whether the entry is still kept: for one worker lease after the later of the two
    /// times.
    fn is_recent(&self, now: Timestamp, lease: Duration) -> bool {
        now < self.redirected_at.max(self.served_until) + lease
    }
}

/// The workers that were redirected or are served in the leader's place.
#[derive(Debug, Default)]
pub(in crate::engine) struct Redirects {
    by_machine: BTreeMap<MachineId, Redirect>,
    next_cleanup_at: Timestamp,
}

impl Redirects {
    /// Decides whether this node serves the worker in place of a leader that the node can't reach
    /// (true) or redirects the worker to that leader (false), and records the decision. If the
    /// records of [`constants::MAX_REDIRECTS_REMEMBERED`] workers are kept, the decision about any
    /// further worker is not recorded.
    ///
    /// The worker may be able to reach the leader although this node can't: connections between
    /// nodes may be refused while all other connections work, and a new machine must not be kept
    /// from its leader. A worker that has seen the leader's term has lost its connection to the
    /// leader and is served immediately. Any other worker is redirected first, and served if it
    /// comes back. Every worker is redirected again after half a lease.
    pub(super) fn should_serve(
        &mut self,
        machine: MachineId,
        has_seen_term: bool,
        now: Timestamp,
        lease: Duration,
    ) -> bool {
        self.remove_expired(now, lease);
        let entry = self.by_machine.get(&machine).copied();
        let entry = entry.filter(|redirect| redirect.is_recent(now, lease));
        if entry.is_some_and(|redirect| now < redirect.served_until) {
            return true;
        }
        // The worker was redirected and has come back before its lease could have expired, or it
        // has no recent entry and has seen the term.
        let should_serve_now = entry.map_or(has_seen_term, |redirect| {
            redirect.redirected_at > redirect.served_until
        });
        let is_full = self.by_machine.len() >= constants::MAX_REDIRECTS_REMEMBERED;
        if is_full && entry.is_none() {
            return should_serve_now;
        }
        let mut redirect = entry.unwrap_or_default();
        if should_serve_now {
            redirect.served_until = now + lease / 2;
        } else {
            redirect.redirected_at = now;
        }
        self.by_machine.insert(machine, redirect);
        should_serve_now
    }

    /// Removes entries that are no longer recent, at most once per housekeeping interval: there may
    /// be thousands of entries and thousands of heartbeats.
    fn remove_expired(&mut self, now: Timestamp, lease: Duration) {
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + constants::HOUSEKEEPING_INTERVAL;
            self.by_machine
                .retain(|_, redirect| redirect.is_recent(now, lease));
        }
    }
}

#[cfg(test)]
mod tests;
