//! The jobs of the load, and the user who submits them.

use crate::network::TIMEOUT;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use umbervale::http::HttpClient;
use umbervale::wire::encode;
use umbervale::wire::user::{JobKind, JobSubmission, Priority};

/// A job's state as the encoded text of the field that tells it; a field is called "done" as well.
const STATUS_DONE: &[u8] = b"status\xa4done";

/// A user who submits jobs to a node and queries their states.
pub(crate) struct User {
    /// The node's address.
    pub(crate) front: SocketAddr,
    /// Between two queries about a job.
    pub(crate) poll_interval: Duration,
    http: HttpClient,
    jobs: u64,
}

impl User {
    /// A user who has submitted nothing.
    pub(crate) fn new(front: SocketAddr, poll_interval: Duration) -> User {
        User {
            front,
            poll_interval,
            http: HttpClient::default(),
            jobs: 0,
        }
    }

    /// Submits a job, and queries its state from then on.
    pub(crate) async fn submit(&mut self, prefix: &str, kind: JobKind, tasks: u64) {
        self.jobs += 1;
        let id = format!("{prefix}{:05}", self.jobs);
        let body = Some(encode(&job(&id, kind, tasks)));
        let path = "/submissions";
        let answer = self
            .http
            .call(Method::POST, self.front, path, body, TIMEOUT);
        let status = answer.await.unwrap().status;
        assert!(status < 300, "submission: {status}");
        // It ends with the job, or with the program.
        tokio::spawn(poll(self.http.clone(), self.front, id, self.poll_interval));
    }
}

/// Queries the state of a job until it is done.
async fn poll(http: HttpClient, front: SocketAddr, id: String, interval: Duration) {
    let path = format!("/submissions/{id}");
    let is_done = |body: &[u8]| {
        let mut windows = body.windows(STATUS_DONE.len());
        windows.any(|text| text == STATUS_DONE)
    };
    loop {
        tokio::time::sleep(interval).await;
        let answer = http.call(Method::GET, front, &path, None, TIMEOUT).await;
        if answer.is_ok_and(|answer| is_done(&answer.body)) {
            return;
        }
    }
}

/// A job of the load.
fn job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
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
