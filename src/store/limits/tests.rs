use super::*;
use crate::settings::tests::SAMPLE;
use crate::wire::store::Transaction;
use std::time::Duration;
use tokio::time::Instant;

/// Calls that the sample's limits allow one node at once: its share of 200 a second.
const CALLS_AT_ONCE: usize = 120;

fn limits() -> CallLimits {
    CallLimits::new(&Settings::parse(SAMPLE, "sample").unwrap())
}

fn get() -> StoreCall {
    StoreCall::Get {
        key: "live/job/run-1".into(),
    }
}

fn commit(mutations: usize) -> StoreCall {
    let transaction = Transaction::default();
    StoreCall::Commit((0..mutations).fold(transaction, |transaction, index| {
        transaction.delete(format!("key-{index}"))
    }))
}

fn is_refused_for_tokens(admission: &Result<(), StoreError>) -> bool {
    matches!(
        admission,
        Err(StoreError::NotExecuted(NotExecutedCause::NoTokens))
    )
}

/// How long an admission takes on the test's clock.
async fn wait_for(limits: &CallLimits, call: &StoreCall, priority: CallPriority) -> Duration {
    let started = Instant::now();
    limits.admit(call, priority).await.unwrap();
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn users_are_refused_before_the_engine_has_to_wait() {
    let limits = limits();
    let reserved = (CALLS_AT_ONCE as f64 * constants::RESERVED_RATE_SHARE) as usize;
    for _ in reserved..CALLS_AT_ONCE {
        assert!(limits.admit(&get(), CallPriority::User).await.is_ok());
    }
    let admission = limits.admit(&get(), CallPriority::User).await;
    assert!(is_refused_for_tokens(&admission), "{admission:?}");
    for _ in 0..reserved {
        let wait = wait_for(&limits, &get(), CallPriority::Engine).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = wait_for(&limits, &get(), CallPriority::Engine).await;
    assert!(wait > Duration::ZERO, "the bucket is empty");
}

#[tokio::test(start_paused = true)]
async fn calls_of_leadership_never_wait() {
    let limits = limits();
    for _ in 0..2 * CALLS_AT_ONCE {
        let wait = wait_for(&limits, &get(), CallPriority::Leadership).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = wait_for(&limits, &get(), CallPriority::Engine).await;
    assert!(wait >= Duration::from_secs(1), "later calls pay: {wait:?}");
}

#[tokio::test(start_paused = true)]
async fn users_have_mutations_of_their_own() {
    let limits = limits();
    let mut waited = false;
    while !waited {
        let wait = wait_for(&limits, &commit(24), CallPriority::Engine).await;
        waited = wait > Duration::ZERO;
    }
    let admission = limits.admit(&commit(1), CallPriority::User).await;
    assert!(admission.is_ok(), "{admission:?}");
}

#[tokio::test(start_paused = true)]
async fn a_transaction_without_mutations_takes_no_token_of_theirs() {
    let limits = limits();
    for _ in 0..20 {
        let wait = wait_for(&limits, &commit(24), CallPriority::Leadership).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = wait_for(&limits, &commit(0), CallPriority::Engine).await;
    assert_eq!(wait, Duration::ZERO);
    let wait = wait_for(&limits, &commit(1), CallPriority::Engine).await;
    assert!(wait > Duration::ZERO);
}
