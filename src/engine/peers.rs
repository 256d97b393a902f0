//! Reachability of the other controller nodes, and the state that they announce.

use crate::constants;
use crate::model::Timestamp;
use crate::peer::Announcement;
use crate::settings::Peer;
use std::collections::BTreeMap;

/// The last announcement of a peer.
#[derive(Debug, Clone, Copy)]
struct PeerObservation {
    received_at: Timestamp,
    store_reachable: bool,
}

/// The reachability of the other controller nodes.
#[derive(Debug)]
pub(super) struct PeerHealth {
    configured: Vec<Peer>,
    observations: BTreeMap<String, PeerObservation>,
}

impl PeerHealth {
    /// Creates the health of the configured peers, none of which has sent an announcement yet.
    pub(super) fn new(configured: Vec<Peer>) -> Self {
        PeerHealth {
            configured,
            observations: BTreeMap::new(),
        }
    }

    /// Records an announcement. An announcement of a node that is not a configured peer is ignored.
    pub(super) fn record(&mut self, announcement: &Announcement, now: Timestamp) {
        let is_peer = |peer: &Peer| peer.node == announcement.node;
        if self.configured.iter().any(is_peer) {
            let observation = PeerObservation {
                received_at: now,
                store_reachable: announcement.store_reachable,
            };
            self.observations
                .insert(announcement.node.clone(), observation);
        }
    }

    /// Reports whether the peer sent an announcement within the silence timeout.
    pub(super) fn is_reachable(&self, node: &str, now: Timestamp) -> bool {
        self.observations
            .get(node)
            .is_some_and(|observation| observation.is_recent(now))
    }

    /// Reports whether any reachable peer reaches the state service, according to the peer's
    /// announcement.
    pub(super) fn any_reaches_store(&self, now: Timestamp) -> bool {
        self.observations
            .values()
            .any(|observation| observation.store_reachable && observation.is_recent(now))
    }

    /// Reports whether peers are configured and none of them is reachable.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        let is_reachable = |peer: &Peer| self.is_reachable(&peer.node, now);
        !self.configured.is_empty() && !self.configured.iter().any(is_reachable)
    }

    /// Reports whether peers are configured in the zone and none of them is reachable.
    pub(super) fn is_zone_unreachable(&self, zone: &str, now: Timestamp) -> bool {
        let in_zone = |peer: &&Peer| peer.zone == zone;
        let mut peers = self.configured.iter().filter(in_zone).peekable();
        peers.peek().is_some() && !peers.any(|peer| self.is_reachable(&peer.node, now))
    }
}

impl PeerObservation {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.saturating_since(self.received_at) < constants::PEER_SILENCE_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
