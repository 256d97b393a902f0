//! What this node may do at the moment on behalf of the cluster.

use super::Engine;
use super::leadership::ObservedLeader;
use crate::constants;
use std::time::Duration;

/// A duration less what the monotonic clock may have lost in it.
fn less_drift(duration: Duration) -> Duration {
    let millis = duration.as_millis() as u64;
    Duration::from_millis(millis - millis * constants::CLOCK_DRIFT_PPM / 1_000_000)
}

impl Engine {
    /// Whether this node may start things: it leads, its lease is surely valid, and it has heard of
    /// all changes within the lease's time.
    pub(super) fn holds_valid_lease(&self) -> bool {
        let now = self.context.now();
        let ttl = less_drift(constants::LEASE_TTL);
        let leader = self.leadership.leader();
        leader.is_some_and(|leader| leader.lease.was_renewed_within(ttl, now))
            && self.live.is_current_within(ttl, now)
    }

    /// Whether this node may still respond to heartbeats as a leader, which renews workers'
    /// leases. Bounded, so that a cancellation that it has not heard of still takes effect in
    /// time: see [`crate::settings::Timing::leader_grace`].
    pub(super) fn may_respond_as_leader(&self) -> bool {
        let now = self.context.now();
        let grace = self.leader_grace();
        let leader = self.leadership.leader();
        leader.is_some_and(|leader| leader.lease.was_renewed_within(grace, now))
            && self.live.is_current_within(grace, now)
    }

    /// How long after its last contact with the state service a leader still responds to
    /// heartbeats. One that hears no peer either has more likely lost its own connections than
    /// lived through an outage: its successor is at work by then and waits for the workers, so it
    /// releases them sooner. (A follower that responds in the leader's place redirects workers now
    /// and then and need not: in a zone that is cut off, what they run would end for nothing.)
    fn leader_grace(&self) -> Duration {
        let grace = self.context.timing().leader_grace;
        match self.peers.is_isolated(self.context.now()) {
            true => Duration::from_millis(grace.as_millis() as u64 / 2),
            false => grace,
        }
    }

    /// The leader in whose place this node may respond to heartbeats: the state service says that
    /// it leads, and it can't be heard. Workers that can't reach it from here are answered only to
    /// keep their leases and to be told of cancellations; the right to do so ends, as the leader's
    /// own does, with the grace after the last proof of knowing all cancellations.
    pub(super) fn unreachable_leader(&self) -> Option<&ObservedLeader> {
        let now = self.context.now();
        let own_node = &self.context.settings().node;
        let leader = self.leadership.other_leader(own_node)?;
        let grace = self.context.timing().leader_grace;
        let informed = self.live.is_current_within(grace, now);
        (informed && !self.peers.is_reachable(&leader.node, now)).then_some(leader)
    }
}
