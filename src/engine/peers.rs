//! Which controller nodes can be heard, and what they say of themselves.

use crate::constants;
use crate::model::Timestamp;
use crate::peer::Announcement;
use crate::settings::Peer;
use std::collections::BTreeMap;

/// What a peer last announced.
#[derive(Debug, Clone, Copy)]
struct PeerObservation {
    heard_at: Timestamp,
    store_reachable: bool,
}

/// The reachability of the other controller nodes.
#[derive(Debug)]
pub(super) struct PeerHealth {
    configured: Vec<Peer>,
    observations: BTreeMap<String, PeerObservation>,
}

impl PeerHealth {
    /// Health of the peers that the settings name; none has been heard yet.
    pub(super) fn new(configured: Vec<Peer>) -> Self {
        PeerHealth {
            configured,
            observations: BTreeMap::new(),
        }
    }

    /// Records an announcement; one of a node that is no peer is ignored.
    pub(super) fn record(&mut self, announcement: &Announcement, now: Timestamp) {
        let is_peer = |peer: &Peer| peer.node == announcement.node;
        if self.configured.iter().any(is_peer) {
            let observation = PeerObservation {
                heard_at: now,
                store_reachable: announcement.store_reachable,
            };
            self.observations
                .insert(announcement.node.clone(), observation);
        }
    }

    /// Whether that peer was heard of lately.
    pub(super) fn is_reachable(&self, node: &str, now: Timestamp) -> bool {
        self.observations
            .get(node)
            .is_some_and(|observation| observation.is_recent(now))
    }

    /// Whether a peer that was heard of lately reaches the state service.
    pub(super) fn any_reaches_store(&self, now: Timestamp) -> bool {
        self.observations
            .values()
            .any(|observation| observation.store_reachable && observation.is_recent(now))
    }

    /// Whether there are peers and none of them can be heard.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        let is_reachable = |peer: &Peer| self.is_reachable(&peer.node, now);
        !self.configured.is_empty() && !self.configured.iter().any(is_reachable)
    }

    /// Whether that zone has peers and none of them can be heard.
    pub(super) fn is_zone_unreachable(&self, zone: &str, now: Timestamp) -> bool {
        let in_zone = |peer: &&Peer| peer.zone == zone;
        let mut peers = self.configured.iter().filter(in_zone).peekable();
        peers.peek().is_some() && !peers.any(|peer| self.is_reachable(&peer.node, now))
    }
}

impl PeerObservation {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.saturating_since(self.heard_at) < constants::PEER_SILENCE_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
