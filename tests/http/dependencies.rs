//! Tests of job dependencies: validation at submission and propagation of cancellations.

use crate::client::{dependent_submission, job_ids, start_node, submission};
use rmpv::Value;
use std::sync::atomic::Ordering;

#[tokio::test]
async fn dependencies_are_validated_at_submission() {
    let (client, service) = start_node().await;
    let submit = |id, dependencies| client.submit(dependent_submission(id, dependencies));
    assert_eq!(client.submit(submission(|_| {})).await, 201);
    let too_many: Vec<String> = (0..65).map(|number| format!("run-{number}")).collect();
    let too_many: Vec<&str> = too_many.iter().map(|id| &**id).collect();
    for malformed in [
        Value::from("run-000412"),
        Value::from(7),
        job_ids(&["run-000412", "host-1"]),
        Value::Array(vec![Value::from(412)]),
        job_ids(&too_many),
    ] {
        assert_eq!(submit("run-1", malformed.clone()).await, 400, "{malformed}");
    }
    assert_eq!(submit("run-1", job_ids(&["run-1"])).await, 422);
    let never_accepted = job_ids(&["run-000412", "run-77"]);
    assert_eq!(submit("run-1", never_accepted.clone()).await, 422);
    assert_eq!(submit("run-1", Value::Nil).await, 201);
    assert_eq!(submit("run-2", job_ids(&[])).await, 201);
    // A repeated dependency counts once.
    let repeated: Vec<&str> = vec!["run-000412"; 100];
    assert_eq!(submit("run-3", job_ids(&repeated)).await, 201);
    assert_eq!(
        submit("run-3", never_accepted.clone()).await,
        200,
        "a repeated submission returns the accepted job"
    );
    service.unavailable.store(true, Ordering::Relaxed);
    assert_eq!(submit("run-4", never_accepted).await, 503);
}

#[tokio::test]
async fn cancellation_propagates_to_dependents() {
    let (client, _service) = start_node().await;
    let submit =
        |id, dependency: &str| client.submit(dependent_submission(id, job_ids(&[dependency])));
    assert_eq!(client.submit(submission(|_| {})).await, 201);
    assert_eq!(submit("run-1", "run-000412").await, 201);
    assert_eq!(submit("run-2", "run-1").await, 201);
    assert_eq!(client.job_state("/submissions/run-2").await, "queued");
    assert_eq!(client.cancel("/submissions/run-000412").await, 200);
    assert_eq!(client.job_state("/submissions/run-2").await, "aborted");
    assert_eq!(client.job_state("/submissions/run-1").await, "aborted");
    // A submission that depends on a cancelled job is accepted, and its job is cancelled.
    assert_eq!(submit("run-3", "run-2").await, 201);
    assert_eq!(client.job_state("/submissions/run-3").await, "aborted");
    assert_eq!(submit("run-3", "run-2").await, 200);
    assert_eq!(client.cancel("/submissions/run-2").await, 200);
}
