use super::*;
use crate::engine::test_support::{context_at, instant};

fn announcement(node: &str, store_reachable: bool) -> Announcement {
    Announcement {
        node: node.into(),
        term: 0,
        store_reachable,
    }
}

#[test]
fn peer_is_reachable_until_the_silence_timeout() {
    let mut peers = PeerHealth::new(context_at(0).settings().peers.clone());
    let now = instant(60_000);
    assert!(peers.is_isolated(now) && peers.is_zone_unreachable("west", now));
    peers.record(&announcement("n1", true), now);
    assert!(peers.is_reachable("n1", now) && peers.any_reaches_store(now));
    assert!(!peers.is_isolated(now) && !peers.is_zone_unreachable("west", now));
    assert!(
        !peers.is_zone_unreachable("east", now),
        "no peer is configured in this zone"
    );
    let later = now + constants::PEER_SILENCE_TIMEOUT;
    assert!(!peers.is_reachable("n1", later) && !peers.any_reaches_store(later));
    assert!(peers.is_isolated(later));
}

#[test]
fn announcement_of_a_node_that_is_not_a_peer_is_ignored() {
    let mut peers = PeerHealth::new(context_at(0).settings().peers.clone());
    peers.record(&announcement("n9", true), instant(0));
    assert!(!peers.is_reachable("n9", instant(0)));
    assert!(peers.is_isolated(instant(0)));
}

#[test]
fn reachable_peer_without_state_service_does_not_count_as_reaching_it() {
    let mut peers = PeerHealth::new(context_at(0).settings().peers.clone());
    peers.record(&announcement("n1", false), instant(0));
    assert!(peers.is_reachable("n1", instant(0)));
    assert!(!peers.any_reaches_store(instant(0)));
}
