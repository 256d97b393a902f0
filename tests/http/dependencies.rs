//! Submissions that depend on other jobs.

use crate::client::{dependent_submission, job_ids, node, submission};
use rmpv::Value;
use std::sync::atomic::Ordering;

#[tokio::test]
async fn dependencies_are_validated_at_submission() {
    let (client, service) = node().await;
    let submit = |id, dependencies| client.submit(dependent_submission(id, dependencies));
    assert_eq!(client.submit(submission(|_| {})).await, 201);
    let many: Vec<String> = (0..65).map(|number| format!("run-{number}")).collect();
    let many: Vec<&str> = many.iter().map(|id| &**id).collect();
    for bad in [
        Value::from("run-000412"),
        Value::from(7),
        job_ids(&["run-000412", "host-1"]),
        Value::Array(vec![Value::from(412)]),
        job_ids(&many),
    ] {
        assert_eq!(submit("run-1", bad.clone()).await, 400, "{bad}");
    }
    assert_eq!(submit("run-1", job_ids(&["run-1"])).await, 422);
    let never = job_ids(&["run-000412", "run-77"]);
    assert_eq!(submit("run-1", never.clone()).await, 422);
    assert_eq!(submit("run-1", Value::Nil).await, 201);
    assert_eq!(submit("run-2", job_ids(&[])).await, 201);
    // A dependency that is named twice counts once.
    let most: Vec<&str> = vec!["run-000412"; 100];
    assert_eq!(submit("run-3", job_ids(&most)).await, 201);
    assert_eq!(
        submit("run-3", never.clone()).await,
        200,
        "it stays the accepted job"
    );
    service.down.store(true, Ordering::Relaxed);
    assert_eq!(submit("run-4", never).await, 503);
}

#[tokio::test]
async fn cancellation_propagates_to_dependents() {
    let (client, _service) = node().await;
    let submit =
        |id, dependency: &str| client.submit(dependent_submission(id, job_ids(&[dependency])));
    assert_eq!(client.submit(submission(|_| {})).await, 201);
    assert_eq!(submit("run-1", "run-000412").await, 201);
    assert_eq!(submit("run-2", "run-1").await, 201);
    assert_eq!(client.job_state("/submissions/run-2").await, "queued");
    assert_eq!(client.cancel("/submissions/run-000412").await, 200);
    assert_eq!(client.job_state("/submissions/run-2").await, "aborted");
    assert_eq!(client.job_state("/submissions/run-1").await, "aborted");
    // It is accepted, and cancelled.
    assert_eq!(submit("run-3", "run-2").await, 201);
    assert_eq!(client.job_state("/submissions/run-3").await, "aborted");
    assert_eq!(submit("run-3", "run-2").await, 200);
    assert_eq!(client.cancel("/submissions/run-2").await, 200);
}
