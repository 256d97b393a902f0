use super::*;
use crate::engine::test_support::instant;

fn leader() -> Leader {
    Leader::new(5, 40, LeaderLease::new(9, instant(0)), instant(10))
}

#[test]
fn lease_renewal_is_due_after_the_interval_and_only_one_is_in_flight() {
    let mut lease = LeaderLease::new(9, instant(0));
    let due = instant(0) + constants::LEASE_RENEWAL_INTERVAL;
    assert!(!lease.begin_renewal_if_due(instant(0)));
    assert!(lease.begin_renewal_if_due(due));
    assert!(!lease.begin_renewal_if_due(due), "a renewal is in flight");
    lease.on_renewed(due);
    assert!(lease.was_renewed_within(constants::LEASE_TTL, due));
    let expired = due + constants::LEASE_TTL;
    assert!(!lease.was_renewed_within(constants::LEASE_TTL, expired));
}

#[test]
fn failed_renewal_is_retried_and_does_not_extend_the_lease() {
    let mut lease = LeaderLease::new(9, instant(0));
    let due = instant(0) + constants::LEASE_RENEWAL_INTERVAL;
    assert!(lease.begin_renewal_if_due(due));
    lease.on_renewal_failed(due);
    assert!(lease.begin_renewal_if_due(due + constants::LEASE_RENEWAL_INTERVAL / 4));
    assert!(!lease.was_renewed_within(constants::LEASE_RENEWAL_INTERVAL, due));
}

#[test]
fn fencing_token_belongs_to_the_term_and_never_decreases() {
    let leader = leader();
    let machine = MachineId::from("host-1");
    let first = FencingToken::first_of_term(5);
    assert_eq!(
        leader.fencing_token_for(&machine, FencingToken::default()),
        first
    );
    assert_eq!(
        leader.fencing_token_for(&machine, first.next()),
        first.next()
    );
}

#[test]
fn returned_machine_is_recorded() {
    let mut leader = leader();
    let machine = MachineId::from("host-1");
    assert!(!leader.was_returned(&machine));
    leader.record_returned(machine.clone());
    assert!(leader.was_returned(&machine));
}

#[test]
fn changes_within_one_interval_are_handled_by_one_scheduling_pass() {
    let mut scheduling = SchedulingTrigger::new(instant(0));
    assert!(scheduling.is_due(instant(0)));
    scheduling.begin_pass(instant(0));
    assert!(!scheduling.is_requested());
    scheduling.request();
    assert!(scheduling.is_requested() && !scheduling.is_due(instant(0)));
    assert!(scheduling.is_due(instant(0) + constants::SCHEDULING_INTERVAL));
}
