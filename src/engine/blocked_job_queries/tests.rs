use super::*;
use crate::engine::test_support::instant;

const NOT_BLOCKED: fn(&JobId) -> Option<Reply> = |_| Some(Reply::BlockedJobState(None));

#[test]
fn query_is_answered_only_by_refresh_that_began_after_it() {
    let mut queries = BlockedJobQueries::default();
    assert!(queries.add("run-1".into(), 1, instant(0)));
    assert!(queries.needs_refresh(instant(0)));
    queries.begin_refresh(instant(0));
    // The second query arrives after the refresh in flight began, which therefore does not answer
    // it.
    assert!(queries.add("run-2".into(), 2, instant(1)));
    queries.end_refresh();
    queries.complete_refresh();
    let replies = queries.take_replies(NOT_BLOCKED, GiveUp::Never, instant(2));
    assert_eq!(replies, [(1, Reply::BlockedJobState(None))]);
    assert!(
        !queries.needs_refresh(instant(2)),
        "the refresh interval has not passed"
    );
    assert!(queries.needs_refresh(instant(0) + constants::BLOCKED_JOB_REFRESH_INTERVAL));
}

#[test]
fn unanswerable_queries_are_given_up_when_expired_or_always() {
    let mut queries = BlockedJobQueries::default();
    assert!(queries.add("run-1".into(), 1, instant(0)));
    let expires_at = instant(0) + constants::BLOCKED_JOB_QUERY_TIMEOUT;
    assert!(
        queries
            .take_replies(NOT_BLOCKED, GiveUp::Expired, expires_at)
            .is_empty()
    );
    let after_expiry = expires_at + std::time::Duration::from_millis(1);
    let replies = queries.take_replies(NOT_BLOCKED, GiveUp::Expired, after_expiry);
    assert_eq!(replies, [(1, Reply::Unavailable)]);
    assert!(queries.add("run-2".into(), 2, instant(0)));
    let replies = queries.take_replies(NOT_BLOCKED, GiveUp::Always, instant(0));
    assert_eq!(replies, [(2, Reply::Unavailable)]);
}

#[test]
fn query_beyond_the_limit_is_refused() {
    let mut queries = BlockedJobQueries::default();
    for reply in 0..constants::MAX_USER_CALLS as u64 {
        assert!(queries.add("run-1".into(), reply, instant(0)));
    }
    assert!(!queries.add("run-1".into(), 999, instant(0)));
}
