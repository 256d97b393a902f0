use super::*;
use crate::engine::test_support::{context_at, instant};

fn listed_prefix(call: Option<StoreCall>) -> Option<String> {
    match call {
        Some(StoreCall::List { prefix, .. }) => Some(prefix),
        _ => None,
    }
}

#[test]
fn progress_and_then_rounds_are_read_after_the_live_records() {
    let mut recovery = Recovery::default();
    let now = instant(0);
    assert_eq!(listed_prefix(recovery.next_call(false, now)), None);
    let call = recovery.next_call(true, now);
    assert_eq!(listed_prefix(call), Some(PROGRESS_PREFIX.into()));
    assert_eq!(
        listed_prefix(recovery.next_call(true, now)),
        None,
        "a read is in flight"
    );
    let page = recovery.on_page_read(Some("work/run-1/0".into()), now);
    assert!(page.stage == RecoveryStage::Progress && !page.is_last);
    let Some(StoreCall::List { after, .. }) = recovery.next_call(true, now) else {
        panic!("the next page was not requested");
    };
    assert_eq!(after.as_deref(), Some("work/run-1/0"));
    assert!(!recovery.on_page_read(None, now).is_last);
    let call = recovery.next_call(true, now);
    assert_eq!(listed_prefix(call), Some(ROUND_PREFIX.into()));
    let page = recovery.on_page_read(None, now);
    assert!(page.stage == RecoveryStage::Rounds && page.is_last);
}

#[test]
fn failed_read_is_retried_after_a_pause() {
    let mut recovery = Recovery::default();
    let mut context = context_at(0);
    let now = context.now();
    assert!(recovery.next_call(true, now).is_some());
    recovery.on_read_failed(&mut context);
    assert!(recovery.next_call(true, now).is_none());
    let later = now + crate::constants::RETRY_MAX_PAUSE;
    assert!(recovery.next_call(true, later).is_some());
}
