use super::*;
use crate::engine::test_support::instant;

fn page(names: &[&str], has_more: bool) -> MachinePage {
    let machine = |name: &&str| ListedMachine {
        id: (*name).into(),
        machine_type: "g8".into(),
        zone: "east".into(),
        spot: false,
        state: MachineState::Running,
        age_s: 1.0,
    };
    MachinePage {
        machines: names.iter().map(machine).collect(),
        has_more,
    }
}

#[test]
fn list_is_complete_after_its_last_page() {
    let mut listing = MachineListing::default();
    let now = instant(0);
    assert!(listing.next_call(now).is_some());
    assert!(listing.on_page_read(&page(&["host-1"], true), now));
    assert!(!listing.is_complete());
    let Some(CloudCall::ListMachines { after }) = listing.next_call(now) else {
        panic!("the next page is due immediately");
    };
    assert_eq!(after.as_deref(), Some("host-1"));
    assert!(listing.on_page_read(&page(&["host-2"], false), now));
    assert!(listing.is_complete());
    assert!(listing.next_call(now).is_none());
    assert!(
        listing
            .next_call(now + constants::MACHINE_LIST_INTERVAL)
            .is_some()
    );
}

#[test]
fn list_with_repeated_or_empty_page_is_abandoned_until_the_next_interval() {
    for invalid_page in [page(&["host-1"], true), page(&[], true)] {
        let mut listing = MachineListing::default();
        let now = instant(0);
        assert!(listing.on_page_read(&page(&["host-1"], true), now));
        assert!(!listing.on_page_read(&invalid_page, now));
        assert!(!listing.is_complete() && listing.cursor.is_none());
        assert!(
            listing.next_call(now).is_none(),
            "the list is not read again immediately"
        );
    }
}

#[test]
fn endless_list_is_abandoned_at_the_page_limit() {
    let mut listing = MachineListing::default();
    let mut pages = 0;
    loop {
        let name = format!("host-{pages:06}");
        if !listing.on_page_read(&page(&[&name], true), instant(0)) {
            break;
        }
        pages += 1;
    }
    assert_eq!(pages, constants::MAX_MACHINE_LIST_PAGES);
}
