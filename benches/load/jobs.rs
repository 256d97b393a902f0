//! The jobs of the load and the simulated user who submits them.

use crate::network::TIMEOUT;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use umbervale::http::HttpClient;
use umbervale::wire::encode;
use umbervale::wire::user::{JobKind, JobSubmission, Priority};

/// The encoded status field of a job that is done. The key is included because another field is
/// called "done".
const STATUS_DONE: &[u8] = b"status\xa4done";

/// A user who submits jobs to a node and queries their states.
pub(crate) struct User {
    /// The node's address.
    pub(crate) front: SocketAddr,
    /// Time between two queries about a job.
    pub(crate) poll_interval: Duration,
    http: HttpClient,
    submitted_jobs: u64,
}

impl User {
    /// Creates a user who has not submitted any jobs.
    pub(crate) fn new(front: SocketAddr, poll_interval: Duration) -> User {
        User {
            front,
            poll_interval,
            http: HttpClient::default(),
            submitted_jobs: 0,
        }
    }

    /// Submits a job and starts to poll its state.
    ///
    /// # Panics
    ///
    /// Panics if the job is not accepted.
    pub(crate) async fn submit(&mut self, prefix: &str, kind: JobKind, tasks: u64) {
        self.submitted_jobs += 1;
        let id = format!("{prefix}{:05}", self.submitted_jobs);
        let body = Some(encode(&job_submission(&id, kind, tasks)));
        let path = "/submissions";
        let response = self
            .http
            .call(Method::POST, self.front, path, body, TIMEOUT);
        let status = response.await.unwrap().status;
        assert!(status < 300, "submission: {status}");
        // The task ends when the job is done or the program ends.
        tokio::spawn(poll_until_done(
            self.http.clone(),
            self.front,
            id,
            self.poll_interval,
        ));
    }
}

/// Polls the state of a job until the job is done.
async fn poll_until_done(http: HttpClient, front: SocketAddr, id: String, interval: Duration) {
    let path = format!("/submissions/{id}");
    let is_done = |body: &[u8]| {
        let mut windows = body.windows(STATUS_DONE.len());
        windows.any(|text| text == STATUS_DONE)
    };
    loop {
        tokio::time::sleep(interval).await;
        let response = http.call(Method::GET, front, &path, None, TIMEOUT).await;
        if response.is_ok_and(|response| is_done(&response.body)) {
            return;
        }
    }
}

/// Returns the submission of a job with these parameters.
fn job_submission(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    JobSubmission {
        id: id.into(),
        class: "load".into(),
        team: "load".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 16.0,
        image: "img-01".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: kind == JobKind::Service,
        allows_spot: false,
        expected_duration_s: 40.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}
