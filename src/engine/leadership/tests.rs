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

/// Leadership of a node that leads in term 5; the version of the leader's key is 40.
fn leader_in_term_5() -> Leadership {
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
fn leader_is_superseded_by_a_newer_key_of_another_node() {
    let mut leadership = leader_in_term_5();
    let old = leadership.observe_leader(observed("n1", 4, 39));
    assert_eq!(old, LeaderObservation::Outdated);
    assert!(leadership.other_leader("n0").is_none());
    let new = leadership.observe_leader(observed("n1", 6, 41));
    assert_eq!(new, LeaderObservation::Superseded);
    assert_eq!(leadership.highest_term(), 6);
    assert_eq!(leadership.other_leader("n0").unwrap().node, "n1");
}

#[test]
fn leadership_ends_only_if_the_leaders_own_key_is_deleted() {
    let mut leadership = leader_in_term_5();
    assert!(!leadership.observe_key_deleted(39));
    assert!(leadership.observed_leader().is_some());
    assert!(leadership.observe_key_deleted(40));
    assert!(leadership.observed_leader().is_none());
}

#[test]
fn follower_observes_a_new_leader_and_the_deletion_of_its_key() {
    let mut leadership = Leadership::default();
    let first = leadership.observe_leader(observed("n1", 1, 3));
    assert_eq!(first, LeaderObservation::Current);
    assert!(!leadership.observe_key_deleted(4));
    assert!(leadership.observed_leader().is_none());
}

#[test]
fn abandoned_campaign_returns_its_lease_and_delays_the_next_one() {
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
    assert!(!leadership.begin_election(lease), "no campaign is running");
    assert!(!leadership.is_campaign_due(context.now()));
}

#[test]
fn leader_becomes_a_follower_when_it_resigns() {
    let mut leadership = leader_in_term_5();
    let mut context = context_at(0);
    assert_eq!(leadership.resign(&mut context).unwrap().term(), 5);
    assert!(!leadership.is_leading());
    assert!(leadership.resign(&mut context).is_none());
}
