//! The phases of the load.

use crate::constants::{ARRAY_PREFIX, MAX_TASKS_PER_MACHINE, SERVICE_PREFIX};
use crate::fleet::Fleet;
use crate::jobs::User;
use crate::network::wait_until;
use crate::options::Options;
use crate::process::NodeProcess;
use crate::profile::Profile;
use crate::report;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbervale::wire::user::JobKind;

/// Until submitted jobs have gone through the scheduler once.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// This part of the machines is left for the arrays of the busy phase.
const ARRAY_MACHINES_DIVISOR: usize = 8;

/// The load and the measured node.
pub(crate) struct Load {
    options: Options,
    fleet: Arc<Fleet>,
    user: User,
    measured: NodeProcess,
    /// Heartbeats answered before the present phase.
    heartbeats_before: u64,
}

impl Load {
    /// A load on the measured node at that address.
    pub(crate) fn new(
        options: Options,
        fleet: Arc<Fleet>,
        measured: NodeProcess,
        front: SocketAddr,
    ) -> Load {
        let user = User::new(front, Duration::from_secs(options.poll_every));
        Load {
            options,
            fleet,
            user,
            measured,
            heartbeats_before: 0,
        }
    }

    /// Plays all phases; the other node ends after the busy one.
    pub(crate) async fn measure(&mut self, mut other: NodeProcess) {
        self.end_phase("start");
        self.pass_time().await;
        self.end_phase("idle");
        self.hold_connections().await;
        self.submit_waiting_jobs().await;
        self.fill_machines().await;
        self.end_phase("fill");
        self.pass_time().await;
        self.end_phase("reports");
        self.submit_arrays().await;
        self.end_phase("busy");
        other.kill();
        if self.options.follower {
            self.wait_for_failover().await;
            self.end_phase("take-over");
            self.pass_time().await;
            self.end_phase("after");
        }
    }

    async fn pass_time(&self) {
        tokio::time::sleep(Duration::from_secs(self.options.seconds)).await;
    }

    /// Connections that stay open, in a phase of their own.
    async fn hold_connections(&mut self) {
        let open = self.open_connections().await;
        if !open.is_empty() {
            self.end_phase("connections");
        }
    }

    /// Connections on which a request was answered and that stay open.
    async fn open_connections(&self) -> Vec<TcpStream> {
        let mut open = Vec::new();
        for _ in 0..self.options.connections {
            let mut stream = TcpStream::connect(self.user.front).await.unwrap();
            stream
                .write_all(b"GET /ready HTTP/1.1\r\nhost: n\r\n\r\n")
                .await
                .unwrap();
            let mut answer = [0; 1024];
            assert!(stream.read(&mut answer).await.unwrap() > 0);
            open.push(stream);
        }
        open
    }

    /// Jobs that wait, in a phase of their own: the cloud has no machine yet.
    async fn submit_waiting_jobs(&mut self) {
        for _ in 0..self.options.waiting {
            self.submit_array().await;
        }
        if self.options.waiting > 0 {
            tokio::time::sleep(SETTLE_TIME).await;
            self.end_phase("waiting jobs");
        }
    }

    /// Services fill most machines.
    async fn fill_machines(&mut self) {
        self.fleet.set_capacity(self.options.machines);
        let for_arrays = self.options.machines / ARRAY_MACHINES_DIVISOR;
        let machines = (self.options.machines - for_arrays) as u64;
        let job_tasks = self.options.job_tasks;
        let services = machines * MAX_TASKS_PER_MACHINE / job_tasks;
        for _ in 0..services {
            let user = &mut self.user;
            user.submit(SERVICE_PREFIX, JobKind::Service, job_tasks)
                .await;
        }
        let tasks = (services * job_tasks) as usize;
        wait_until(|| self.fleet.size().running_tasks >= tasks).await;
    }

    /// A stream of arrays for the length of a phase.
    async fn submit_arrays(&mut self) {
        for _ in 0..self.options.seconds {
            for _ in 0..self.options.submissions {
                self.submit_array().await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    async fn submit_array(&mut self) {
        let tasks = self.options.job_tasks;
        self.user.submit(ARRAY_PREFIX, JobKind::Array, tasks).await;
    }

    /// Until each worker has sent two heartbeats, on average, to the new leader.
    async fn wait_for_failover(&self) {
        let enough = self.fleet.heartbeats() + 2 * self.options.machines as u64;
        wait_until(|| self.fleet.heartbeats() >= enough).await;
    }

    /// Prints what the phase cost, and begins the next one.
    fn end_phase(&mut self, phase: &str) {
        let answered = self.fleet.heartbeats();
        let heartbeats = answered - self.heartbeats_before;
        self.heartbeats_before = answered;
        report::print_phase(phase, heartbeats, &self.fleet.size());
        if self.options.native
            && let Some(memory) = self.measured.memory()
        {
            report::print_memory(&memory);
        }
        if let Some(file) = self.measured.dump(phase) {
            let profile = Profile::read(&file).unwrap();
            report::print_profile(&profile, heartbeats, self.options.functions);
        }
    }
}
