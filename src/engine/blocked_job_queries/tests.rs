use super::*;
use crate::engine::test_support::instant;

const QUEUED: fn(&JobId) -> Option<Reply> = |_| Some(Reply::BlockedJobState(None));

#[test]
fn a_question_is_answered_by_a_refresh_that_began_after_it() {
    let mut queries = BlockedJobQueries::default();
    assert!(queries.add("run-1".into(), 1, instant(0)));
    assert!(queries.needs_refresh(instant(0)));
    queries.begin_refresh(instant(0));
    // This one came too late for the refresh in flight.
    assert!(queries.add("run-2".into(), 2, instant(1)));
    queries.end_refresh();
    queries.complete_refresh();
    let replies = queries.take_replies(QUEUED, GiveUp::Never, instant(2));
    assert_eq!(replies, [(1, Reply::BlockedJobState(None))]);
    assert!(!queries.needs_refresh(instant(2)), "refreshes are spaced");
    assert!(queries.needs_refresh(instant(0) + constants::BLOCKED_JOB_REFRESH_INTERVAL));
}

#[test]
fn questions_that_can_not_be_answered_are_given_up() {
    let mut queries = BlockedJobQueries::default();
    assert!(queries.add("run-1".into(), 1, instant(0)));
    let just_in_time = instant(0) + constants::BLOCKED_JOB_QUERY_TIMEOUT;
    assert!(
        queries
            .take_replies(QUEUED, GiveUp::Expired, just_in_time)
            .is_empty()
    );
    let too_late = just_in_time + std::time::Duration::from_millis(1);
    let replies = queries.take_replies(QUEUED, GiveUp::Expired, too_late);
    assert_eq!(replies, [(1, Reply::Unavailable)]);
    assert!(queries.add("run-2".into(), 2, instant(0)));
    let replies = queries.take_replies(QUEUED, GiveUp::Always, instant(0));
    assert_eq!(replies, [(2, Reply::Unavailable)]);
}

#[test]
fn questions_are_bounded() {
    let mut queries = BlockedJobQueries::default();
    for reply in 0..constants::MAX_USER_CALLS as u64 {
        assert!(queries.add("run-1".into(), reply, instant(0)));
    }
    assert!(!queries.add("run-1".into(), 999, instant(0)));
}
