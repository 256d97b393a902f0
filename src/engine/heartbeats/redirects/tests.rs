use super::*;
use crate::engine::test_support::instant;

const LEASE: Duration = Duration::from_secs(17);

fn should_serve(redirects: &mut Redirects, has_seen_term: bool, millis: u64) -> bool {
    redirects.should_serve("host-1".into(), has_seen_term, instant(millis), LEASE)
}

#[test]
fn worker_that_has_seen_the_term_is_served_for_half_a_lease() {
    let mut redirects = Redirects::default();
    assert!(should_serve(&mut redirects, true, 0));
    assert!(should_serve(&mut redirects, true, 8_499));
    assert!(
        !should_serve(&mut redirects, true, 8_501),
        "redirected again after half a lease"
    );
    assert!(
        should_serve(&mut redirects, true, 9_500),
        "served after the redirect"
    );
}

#[test]
fn worker_that_has_not_seen_the_term_is_redirected_before_it_is_served() {
    let mut redirects = Redirects::default();
    assert!(!should_serve(&mut redirects, false, 1));
    assert!(should_serve(&mut redirects, false, 1_000));
}

#[test]
fn expired_redirects_are_removed() {
    let mut redirects = Redirects::default();
    assert!(!should_serve(&mut redirects, false, 1));
    assert!(
        !should_serve(&mut redirects, false, 20_000),
        "redirected first, since the earlier redirect has expired"
    );
    redirects.remove_expired(instant(90_000), LEASE);
    assert!(redirects.by_machine.is_empty());
}
