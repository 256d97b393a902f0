use super::*;
use crate::engine::test_support::instant;

const LEASE: Duration = Duration::from_secs(17);

fn serves(redirects: &mut Redirects, knows_term: bool, millis: u64) -> bool {
    redirects.serves("host-1".into(), knows_term, instant(millis), LEASE)
}

#[test]
fn a_worker_that_knows_the_term_is_served_for_half_a_lease() {
    let mut redirects = Redirects::default();
    assert!(serves(&mut redirects, true, 0));
    assert!(serves(&mut redirects, true, 8_499));
    assert!(!serves(&mut redirects, true, 8_501), "redirected once more");
    assert!(serves(&mut redirects, true, 9_500), "it came back");
}

#[test]
fn any_other_worker_is_redirected_first() {
    let mut redirects = Redirects::default();
    assert!(!serves(&mut redirects, false, 1));
    assert!(serves(&mut redirects, false, 1_000));
}

#[test]
fn old_redirects_are_forgotten() {
    let mut redirects = Redirects::default();
    assert!(!serves(&mut redirects, false, 1));
    assert!(
        !serves(&mut redirects, false, 20_000),
        "as if for the first time"
    );
    redirects.forget_old(instant(90_000), LEASE);
    assert!(redirects.by_machine.is_empty());
}
