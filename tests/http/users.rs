//! Submissions, cancellations and status queries.

use crate::client::{
    Client, dependent_submission, job_ids, node, node_with_settings, submission, with_field,
};
use hyper::Method;
use rmpv::Value;
use std::sync::atomic::Ordering;

/// The path of the submission's job.
const JOB_PATH: &str = "/submissions/run-000412";

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

/// A repeated submission gets 200, whatever it says.
async fn check_accepted_submission(client: &Client) {
    let submit = |body| client.submit(body);
    assert_eq!(submit(submission(|_| {})).await, 201);
    assert_eq!(submit(submission(|_| {})).await, 200);
    let other_gpus = submission(with_field("gpus", 5));
    assert_eq!(submit(other_gpus).await, 200, "it stays the accepted job");
    let no_tasks = submission(with_field("pieces", 0));
    assert_eq!(submit(no_tasks).await, 200, "whatever its repetition says");
    assert_eq!(client.job_state(JOB_PATH).await, "queued");
}

#[tokio::test]
async fn user_requests_get_the_status_codes_of_the_protocol() {
    let (client, service) = node().await;
    check_refused_submissions(&client).await;
    check_accepted_submission(&client).await;
    assert_eq!(client.get("/nowhere").await, 404);
    let delete = client.status(Method::DELETE, "/submissions", None);
    assert_eq!(delete.await, 405);

    service.down.store(true, Ordering::Relaxed);
    assert_eq!(client.get(JOB_PATH).await, 503);
    let other = submission(with_field("uid", "run-2"));
    assert_eq!(client.submit(other).await, 503);
    service.down.store(false, Ordering::Relaxed);

    assert_eq!(client.cancel(JOB_PATH).await, 200);
    assert_eq!(client.job_state(JOB_PATH).await, "aborted");
    assert_eq!(client.submit(submission(|_| {})).await, 200);
    service.down.store(true, Ordering::Relaxed);
    let state = client.job_state(JOB_PATH).await;
    assert_eq!(state, "aborted", "a final state needs no read");
}

/// An accepted job stays known whatever its record holds: a job without a state for 75 s counts as
/// forgotten.
#[tokio::test]
async fn job_with_an_unreadable_record_stays_known() {
    let (client, service) = node().await;
    let put = |key: &str| service.put_without_change(key, Value::from("not a record"));
    put("live/job/run-000412");
    let path = "/submissions/run-000412";
    assert_eq!(client.job_state(path).await, "queued");
    let again = client.submit(submission(|_| {})).await;
    assert_eq!(again, 200);
    assert_eq!(client.cancel(path).await, 200);
    assert_eq!(client.job_state(path).await, "aborted");
    assert_eq!(service.value("live/job/run-000412"), None);
}

/// Guards against a job that is found in neither of its records, because it completes between the
/// two reads of a status query, a repeated submission or a cancellation.
#[tokio::test]
async fn job_that_completes_during_a_query_is_reported_done() {
    for query in ["poll", "repeat", "cancel"] {
        let (client, service) = node().await;
        let submit = |body| client.submit(body);
        assert_eq!(submit(submission(|_| {})).await, 201);
        service.ends.store(true, Ordering::Relaxed);
        let path = "/submissions/run-000412";
        let status = match query {
            "poll" => client.get(path).await,
            "repeat" => submit(submission(|_| {})).await,
            _ => client.cancel(path).await,
        };
        assert_eq!(status, 200, "{query}");
        assert_eq!(client.job_state(path).await, "done", "{query}");
    }
}

/// A record that is accepted must fit into a value under the lower of both limits.
#[tokio::test]
async fn submission_larger_than_a_value_is_refused() {
    let small = |text: String| text.replace("value_kb = 8.0", "value_kb = 2.0");
    let (client, _service) = node_with_settings(small).await;
    let submit = |body| client.submit(body);
    let mut all = Vec::new();
    for number in 0..64 {
        let id = format!("run-{number:020}");
        assert_eq!(submit(submission(with_field("uid", id.clone()))).await, 201);
        all.push(id);
    }
    let ids: Vec<&str> = all.iter().map(|id| &**id).collect();
    assert_eq!(
        submit(dependent_submission("run-1", job_ids(&ids))).await,
        400
    );
    assert_eq!(
        submit(dependent_submission("run-1", job_ids(&ids[..32]))).await,
        201
    );
}
