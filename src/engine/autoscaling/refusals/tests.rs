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
fn pause_after_a_refused_offer_doubles_up_to_the_maximum() {
    let mut refusals = RefusedOffers::default();
    assert!(refusals.active_at(instant(0)).is_empty());
    let first = refusals.record(offer(), instant(0));
    assert_eq!(first, constants::REFUSED_OFFER_INITIAL_PAUSE);
    assert!(refusals.active_at(instant(4_999)).contains(&offer()));
    assert!(refusals.active_at(instant(5_000)).is_empty());
    assert_eq!(refusals.record(offer(), instant(5_000)), 2 * first);
    let third = refusals.record(offer(), instant(15_000));
    assert_eq!(third, constants::REFUSED_OFFER_MAX_PAUSE);
}

#[test]
fn clearing_an_offer_ends_its_pause_and_resets_the_backoff() {
    let mut refusals = RefusedOffers::default();
    refusals.record(offer(), instant(0));
    refusals.clear(&offer());
    assert!(refusals.active_at(instant(0)).is_empty());
    let pause = refusals.record(offer(), instant(0));
    assert_eq!(pause, constants::REFUSED_OFFER_INITIAL_PAUSE);
}
