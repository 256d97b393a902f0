//! Decides which actions this node is currently allowed to take on behalf of the cluster.

use super::Engine;
use super::leadership::ObservedLeader;
use crate::constants;
use std::time::Duration;

/// Returns the duration minus the drift that monotonic clocks may accumulate during it.
fn subtract_clock_drift(duration: Duration) -> Duration {
    let millis = duration.as_millis() as u64;
    Duration::from_millis(millis - millis * constants::CLOCK_DRIFT_PPM / 1_000_000)
}

impl Engine {
    /// Reports whether this node may start tasks and rent or return machines. It may if it leads,
    /// its lease is valid even under the assumed clock drift, and its view of the live records is
    /// less than one lease TTL old.
    pub(super) fn holds_valid_lease(&self) -> bool {
        let now = self.context.now();
        let ttl = subtract_clock_drift(constants::LEASE_TTL);
        let leader = self.leadership.leader();
        leader.is_some_and(|leader| leader.lease.was_renewed_within(ttl, now))
            && self.live.is_current_within(ttl, now)
    }

    /// Reports whether this node may still respond to heartbeats as a leader, which renews the
    /// workers' leases. The time is bounded so that a cancellation that this node has not received
    /// still takes effect in time: see [`crate::settings::Timing::leader_grace`].
    pub(super) fn may_respond_as_leader(&self) -> bool {
        let now = self.context.now();
        let grace = self.leader_grace();
        let leader = self.leadership.leader();
        leader.is_some_and(|leader| leader.lease.was_renewed_within(grace, now))
            && self.live.is_current_within(grace, now)
    }

    /// Returns how long after its last contact with the state service a leader still responds to
    /// heartbeats.
    ///
    /// A leader that has received no recent announcement from any peer either has more likely lost
    /// its own connections than met an outage of the state service. Its successor is then already
    /// elected and waits for the workers, so such a leader releases them after half the time. A
    /// follower that responds in place of the leader does not shorten the time: it redirects
    /// workers periodically, and in a zone that is cut off from the rest the workers' tasks would
    /// end for no benefit.
    fn leader_grace(&self) -> Duration {
        let grace = self.context.timing().leader_grace;
        match self.peers.is_isolated(self.context.now()) {
            true => Duration::from_millis(grace.as_millis() as u64 / 2),
            false => grace,
        }
    }

    /// Returns the leader in whose place this node may respond to heartbeats: the state service
    /// names another node as the leader, and no recent announcement of that node has been received.
    ///
    /// Workers that can't reach the leader from here get responses only to renew their leases and
    /// to receive cancellations. As for the leader itself, this permission ends one grace period
    /// after the last time at which this node was known to have all cancellations.
    pub(super) fn unreachable_leader(&self) -> Option<&ObservedLeader> {
        let now = self.context.now();
        let own_node = &self.context.settings().node;
        let leader = self.leadership.other_leader(own_node)?;
        let grace = self.context.timing().leader_grace;
        let has_all_cancellations = self.live.is_current_within(grace, now);
        (has_all_cancellations && !self.peers.is_reachable(&leader.node, now)).then_some(leader)
    }
}
