use super::*;
use crate::engine::test_support::context_at;

#[test]
fn pauses_grow_up_to_the_maximum_and_are_reset_by_a_success() {
    let mut retry = Retry::default();
    let mut context = context_at(0);
    for failures in 1..10 {
        retry.begin();
        assert!(!retry.is_due(context.now()));
        retry.record_failure(&mut context);
        let longest = constants::RETRY_INITIAL_PAUSE * (1 << (failures - 1));
        let longest = longest.min(constants::RETRY_MAX_PAUSE);
        assert!(!retry.is_due(context.now()));
        assert!(
            retry.is_due(context.now() + longest),
            "not due after {failures} failures"
        );
    }
    retry.begin();
    assert!(retry.is_in_flight());
    retry.record_success(context.now());
    assert!(retry.is_due(context.now()));
}

#[test]
fn postponed_call_is_due_at_the_given_time() {
    let mut retry = Retry::default();
    let now = context_at(0).now();
    retry.postpone(now + constants::LEASE_TTL);
    assert!(!retry.is_due(now));
    assert!(retry.is_due(now + constants::LEASE_TTL));
}
