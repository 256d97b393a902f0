use super::*;
use crate::settings::tests::SAMPLE;
use crate::wire::store::Transaction;
use std::time::Duration;
use tokio::time::Instant;

/// Burst of calls that the sample settings allow one node: its share of 200 calls per second.
const CALL_BURST: usize = 120;

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

/// Returns how long the admission of the call takes on the test's paused clock.
async fn admission_time(limits: &CallLimits, call: &StoreCall, priority: CallPriority) -> Duration {
    let started = Instant::now();
    limits.admit(call, priority).await.unwrap();
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn user_calls_are_refused_while_tokens_are_reserved_for_the_engine() {
    let limits = limits();
    let reserved = (CALL_BURST as f64 * constants::RESERVED_RATE_SHARE) as usize;
    for _ in reserved..CALL_BURST {
        assert!(limits.admit(&get(), CallPriority::User).await.is_ok());
    }
    let admission = limits.admit(&get(), CallPriority::User).await;
    assert!(is_refused_for_tokens(&admission), "{admission:?}");
    for _ in 0..reserved {
        let wait = admission_time(&limits, &get(), CallPriority::Engine).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = admission_time(&limits, &get(), CallPriority::Engine).await;
    assert!(wait > Duration::ZERO, "the bucket is empty");
}

#[tokio::test(start_paused = true)]
async fn leadership_calls_are_admitted_without_waiting() {
    let limits = limits();
    for _ in 0..2 * CALL_BURST {
        let wait = admission_time(&limits, &get(), CallPriority::Leadership).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = admission_time(&limits, &get(), CallPriority::Engine).await;
    assert!(
        wait >= Duration::from_secs(1),
        "engine call waits for the tokens taken in advance: {wait:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn user_mutations_are_admitted_when_the_engine_has_used_up_its_tokens() {
    let limits = limits();
    let mut has_waited = false;
    while !has_waited {
        let wait = admission_time(&limits, &commit(24), CallPriority::Engine).await;
        has_waited = wait > Duration::ZERO;
    }
    let admission = limits.admit(&commit(1), CallPriority::User).await;
    assert!(admission.is_ok(), "{admission:?}");
}

#[tokio::test(start_paused = true)]
async fn transaction_without_mutations_takes_no_mutation_token() {
    let limits = limits();
    for _ in 0..20 {
        let wait = admission_time(&limits, &commit(24), CallPriority::Leadership).await;
        assert_eq!(wait, Duration::ZERO);
    }
    let wait = admission_time(&limits, &commit(0), CallPriority::Engine).await;
    assert_eq!(wait, Duration::ZERO);
    let wait = admission_time(&limits, &commit(1), CallPriority::Engine).await;
    assert!(wait > Duration::ZERO);
}
