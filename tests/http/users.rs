//! Tests of submissions, cancellations and status queries.

use crate::client::{
    Client, dependent_submission, job_ids, start_node, start_node_with_settings, submission,
    with_field,
};
use hyper::Method;
use rmpv::Value;
use std::sync::atomic::Ordering;

/// The path of the job that [`submission`] describes.
const JOB_PATH: &str = "/submissions/run-000412";

/// Asserts that bad submissions are refused and that their job stays unknown.
async fn check_refused_submissions(client: &Client) {
    let submit = |body| client.submit(body);
    assert_eq!(submit(b"not msgpack".to_vec()).await, 400);
    assert_eq!(submit(rmp_serde::to_vec(&[1, 2]).unwrap()).await, 400);
    assert_eq!(submit(submission(with_field("pieces", 0))).await, 400);
    assert_eq!(submit(submission(with_field("vcpus", f64::NAN))).await, 400);
    assert_eq!(submit(submission(with_field("uid", "job 1"))).await, 400);
    assert_eq!(submit(submission(|fields| fields.truncate(5))).await, 400);
    let long_image = submission(with_field("plate", "x".repeat(70_000)));
    assert_eq!(submit(long_image).await, 400);
    assert_eq!(submit(submission(with_field("crew", "nobody"))).await, 422);
    assert_eq!(submit(submission(with_field("gpus", 5))).await, 422);
    assert_eq!(client.get(JOB_PATH).await, 404);
    assert_eq!(client.cancel(JOB_PATH).await, 404);
}

/// Asserts that the first submission of a job gets 201 and a repeated one 200, whatever its fields.
async fn check_accepted_submission(client: &Client) {
    let submit = |body| client.submit(body);
    assert_eq!(submit(submission(|_| {})).await, 201);
    assert_eq!(submit(submission(|_| {})).await, 200);
    let other_gpus = submission(with_field("gpus", 5));
    assert_eq!(
        submit(other_gpus).await,
        200,
        "a repeated submission returns the accepted job"
    );
    let no_tasks = submission(with_field("pieces", 0));
    assert_eq!(
        submit(no_tasks).await,
        200,
        "a repeated submission is not validated"
    );
    assert_eq!(client.job_state(JOB_PATH).await, "queued");
}

#[tokio::test]
async fn user_requests_get_the_status_codes_of_the_protocol() {
    let (client, service) = start_node().await;
    check_refused_submissions(&client).await;
    check_accepted_submission(&client).await;
    assert_eq!(client.get("/nowhere").await, 404);
    let delete = client.status_for(Method::DELETE, "/submissions", None);
    assert_eq!(delete.await, 405);

    service.unavailable.store(true, Ordering::Relaxed);
    assert_eq!(client.get(JOB_PATH).await, 503);
    let other = submission(with_field("uid", "run-2"));
    assert_eq!(client.submit(other).await, 503);
    service.unavailable.store(false, Ordering::Relaxed);

    assert_eq!(client.cancel(JOB_PATH).await, 200);
    assert_eq!(client.job_state(JOB_PATH).await, "aborted");
    assert_eq!(client.submit(submission(|_| {})).await, 200);
    service.unavailable.store(true, Ordering::Relaxed);
    let state = client.job_state(JOB_PATH).await;
    assert_eq!(state, "aborted", "a final state is returned without a read");
}

/// Guards against a job that becomes unknown because its record can't be decoded: an accepted job for
/// which the node returns no state for 75 s counts as forgotten.
#[tokio::test]
async fn job_with_an_unreadable_record_stays_known() {
    let (client, service) = start_node().await;
    let put = |key: &str| service.put_without_change(key, Value::from("not a record"));
    put("live/job/run-000412");
    let path = "/submissions/run-000412";
    assert_eq!(client.job_state(path).await, "queued");
    let repeated = client.submit(submission(|_| {})).await;
    assert_eq!(repeated, 200);
    assert_eq!(client.cancel(path).await, 200);
    assert_eq!(client.job_state(path).await, "aborted");
    assert_eq!(service.value("live/job/run-000412"), None);
}

/// Guards against a job for which neither the live nor the final record is found, because the job
/// completes between the two reads of a status query, a repeated submission or a cancellation.
#[tokio::test]
async fn job_that_completes_during_a_request_is_reported_done() {
    for request in ["poll", "repeat", "cancel"] {
        let (client, service) = start_node().await;
        let submit = |body| client.submit(body);
        assert_eq!(submit(submission(|_| {})).await, 201);
        service.completes_job_on_read.store(true, Ordering::Relaxed);
        let path = "/submissions/run-000412";
        let status = match request {
            "poll" => client.get(path).await,
            "repeat" => submit(submission(|_| {})).await,
            _ => client.cancel(path).await,
        };
        assert_eq!(status, 200, "{request}");
        assert_eq!(client.job_state(path).await, "done", "{request}");
    }
}

/// Guards against an accepted job whose record exceeds the limit on the size of a value: a submission
/// is refused if its record does not fit under the lower of the current and the upcoming limit.
#[tokio::test]
async fn submission_whose_record_exceeds_the_value_limit_is_refused() {
    let smaller_values = |text: String| text.replace("value_kb = 8.0", "value_kb = 2.0");
    let (client, _service) = start_node_with_settings(smaller_values).await;
    let submit = |body| client.submit(body);
    let mut accepted_ids = Vec::new();
    for number in 0..64 {
        let id = format!("run-{number:020}");
        assert_eq!(submit(submission(with_field("uid", id.clone()))).await, 201);
        accepted_ids.push(id);
    }
    let ids: Vec<&str> = accepted_ids.iter().map(|id| &**id).collect();
    assert_eq!(
        submit(dependent_submission("run-1", job_ids(&ids))).await,
        400
    );
    assert_eq!(
        submit(dependent_submission("run-1", job_ids(&ids[..32]))).await,
        201
    );
}
