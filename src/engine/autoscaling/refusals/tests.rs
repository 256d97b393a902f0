use super::*;
use crate::engine::test_support::instant;

fn offer() -> MachineOffer {
    MachineOffer {
        machine_type: "g8".into(),
        zone: "east".into(),
        spot: true,
    }
}

#[test]
fn a_refused_offer_is_left_alone_for_a_growing_time() {
    let mut refusals = RefusedOffers::default();
    assert!(refusals.at(instant(0)).is_empty());
    let first = refusals.record(offer(), instant(0));
    assert_eq!(first, constants::REFUSED_OFFER_INITIAL_PAUSE);
    assert!(refusals.at(instant(4_999)).contains(&offer()));
    assert!(refusals.at(instant(5_000)).is_empty());
    assert_eq!(refusals.record(offer(), instant(5_000)), 2 * first);
    let third = refusals.record(offer(), instant(15_000));
    assert_eq!(third, constants::REFUSED_OFFER_MAX_PAUSE);
}

#[test]
fn an_offer_that_was_granted_may_be_asked_for_at_once() {
    let mut refusals = RefusedOffers::default();
    refusals.record(offer(), instant(0));
    refusals.clear(&offer());
    assert!(refusals.at(instant(0)).is_empty());
    let again = refusals.record(offer(), instant(0));
    assert_eq!(again, constants::REFUSED_OFFER_INITIAL_PAUSE);
}
