use super::*;
use crate::engine::test_support::instant;

fn watch_parameters(call: Option<(PendingCall, StoreCall)>) -> Option<(u64, Duration)> {
    match call {
        Some((_, StoreCall::Watch { after, wait, .. })) => Some((after, wait)),
        _ => None,
    }
}

#[test]
fn records_are_listed_once_and_then_watched_from_the_listed_revision() {
    let mut live = LiveView::default();
    let call = live.next_call(instant(0));
    assert!(matches!(call, Some((_, StoreCall::List { .. }))));
    assert!(live.next_call(instant(0)).is_none(), "a call is in flight");
    live.record_listed_key("live/job/run-1");
    assert!(live.has_listed(&"run-1".into()));
    live.finish_listing(7, instant(5));
    assert!(live.is_listed() && live.has_applied_revision(7) && !live.has_applied_revision(8));
    // No watch has been answered yet, so the first one must return at once.
    assert_eq!(
        watch_parameters(live.next_call(instant(5))),
        Some((7, Duration::ZERO))
    );
    live.record_contact(instant(5));
    live.on_watch_answered(instant(6));
    let wait = constants::WATCH_TIMEOUT;
    assert_eq!(
        watch_parameters(live.next_call(instant(6))),
        Some((7, wait))
    );
}

#[test]
fn records_are_listed_again_after_missed_changes() {
    let mut live = LiveView::default();
    live.finish_listing(7, instant(0));
    live.restart_listing(instant(0));
    assert!(!live.is_listed());
    let call = live.next_call(instant(0));
    assert!(matches!(call, Some((_, StoreCall::List { .. }))));
}

#[test]
fn view_becomes_outdated_with_time() {
    let mut live = LiveView::default();
    assert!(!live.is_fresh(instant(0)));
    live.record_contact(instant(1_000));
    live.record_contact(instant(500));
    let second = Duration::from_secs(1);
    assert!(live.is_current_within(second, instant(1_999)));
    assert!(!live.is_current_within(second, instant(2_000)));
    assert!(live.is_fresh(instant(3_999)) && !live.is_fresh(instant(4_000)));
}

#[test]
fn unreadable_mark_is_dropped_when_the_key_is_gone_or_readable() {
    let mut live = LiveView::default();
    assert!(live.mark_unreadable("live/job/run-1"));
    assert!(!live.mark_unreadable("live/job/run-1"), "already marked");
    assert!(live.mark_unreadable("live/job/run-2"));
    live.record_listed_key("live/job/run-2");
    live.finish_listing(7, instant(0));
    assert!(!live.is_unreadable("live/job/run-1") && live.is_unreadable("live/job/run-2"));
    live.clear_unreadable("live/job/run-2");
    assert!(!live.is_unreadable("live/job/run-2"));
}
