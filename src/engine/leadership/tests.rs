use super::*;
use crate::engine::leader::LeaderLease;
use crate::engine::test_support::{context_at, instant};

fn observed(node: &str, term: u64, version: u64) -> ObservedLeader {
    ObservedLeader {
        node: node.into(),
        term,
        version,
    }
}

/// A node that leads with term 5, by a key of version 40.
fn leading() -> Leadership {
    let mut leadership = Leadership::default();
    leadership.begin_campaign();
    let lease = CampaignLease {
        id: 9,
        sent_at: instant(0),
    };
    assert!(leadership.begin_election(lease));
    let lease = LeaderLease::new(9, instant(0));
    let leader = Leader::new(5, 40, lease, instant(0));
    leadership.become_leader("n0".into(), leader, instant(0));
    leadership
}

#[test]
fn a_newer_key_of_another_node_supersedes_a_leader() {
    let mut leadership = leading();
    let old = leadership.observe_leader(observed("n1", 4, 39));
    assert_eq!(old, LeaderObservation::Outdated);
    assert!(leadership.other_leader("n0").is_none());
    let new = leadership.observe_leader(observed("n1", 6, 41));
    assert_eq!(new, LeaderObservation::Superseded);
    assert_eq!(leadership.highest_term(), 6);
    assert_eq!(leadership.other_leader("n0").unwrap().node, "n1");
}

#[test]
fn only_the_deletion_of_its_own_key_ends_a_leaders_term() {
    let mut leadership = leading();
    assert!(!leadership.observe_key_deleted(39));
    assert!(leadership.observed_leader().is_some());
    assert!(leadership.observe_key_deleted(40));
    assert!(leadership.observed_leader().is_none());
}

#[test]
fn a_follower_learns_who_leads() {
    let mut leadership = Leadership::default();
    let first = leadership.observe_leader(observed("n1", 1, 3));
    assert_eq!(first, LeaderObservation::Current);
    assert!(!leadership.observe_key_deleted(4));
    assert!(leadership.observed_leader().is_none());
}

#[test]
fn an_abandoned_campaign_returns_its_lease_and_pauses() {
    let mut leadership = Leadership::default();
    let mut context = context_at(0);
    assert!(leadership.is_campaign_due(context.now()));
    leadership.begin_campaign();
    assert!(!leadership.is_campaign_due(context.now()));
    assert_eq!(leadership.campaign_lease(), None);
    let lease = CampaignLease {
        id: 9,
        sent_at: instant(0),
    };
    assert!(leadership.begin_election(lease));
    assert_eq!(leadership.abandon_campaign(&mut context), Some(lease));
    assert!(!leadership.begin_election(lease), "no campaign");
    assert!(!leadership.is_campaign_due(context.now()));
}

#[test]
fn a_leader_that_resigns_is_a_follower() {
    let mut leadership = leading();
    let mut context = context_at(0);
    assert_eq!(leadership.resign(&mut context).unwrap().term(), 5);
    assert!(!leadership.is_leading());
    assert!(leadership.resign(&mut context).is_none());
}
