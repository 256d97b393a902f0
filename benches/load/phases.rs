//! Runs the phases of the load.

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

/// Time in which a scheduling pass considers the submitted jobs.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// One in this many machines is reserved for the arrays of the busy phase.
const ARRAY_MACHINES_DIVISOR: usize = 8;

/// The load and the measured node.
pub(crate) struct Load {
    options: Options,
    fleet: Arc<Fleet>,
    user: User,
    measured: NodeProcess,
    /// Number of heartbeats that were answered before the current phase.
    heartbeats_before: u64,
}

impl Load {
    /// Creates a load on the measured node, whose address for users and workers is `front`.
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

    /// Runs all phases. The other node is killed after the busy phase.
    pub(crate) async fn run_phases(&mut self, mut other_node: NodeProcess) {
        self.end_phase("start");
        self.wait_for_phase_length().await;
        self.end_phase("idle");
        self.run_connections_phase().await;
        self.run_waiting_jobs_phase().await;
        self.fill_machines().await;
        self.end_phase("fill");
        self.wait_for_phase_length().await;
        self.end_phase("reports");
        self.submit_arrays().await;
        self.end_phase("busy");
        other_node.kill();
        if self.options.follower {
            self.wait_for_failover().await;
            self.end_phase("take-over");
            self.wait_for_phase_length().await;
            self.end_phase("after");
        }
    }

    async fn wait_for_phase_length(&self) {
        tokio::time::sleep(Duration::from_secs(self.options.seconds)).await;
    }

    /// Runs the phase in which idle connections stay open.
    async fn run_connections_phase(&mut self) {
        let connections = self.open_connections().await;
        if !connections.is_empty() {
            self.end_phase("connections");
        }
    }

    /// Opens connections and sends one request on each of them.
    async fn open_connections(&self) -> Vec<TcpStream> {
        let mut connections = Vec::new();
        for _ in 0..self.options.connections {
            let mut stream = TcpStream::connect(self.user.front).await.unwrap();
            stream
                .write_all(b"GET /ready HTTP/1.1\r\nhost: n\r\n\r\n")
                .await
                .unwrap();
            let mut response = [0; 1024];
            assert!(stream.read(&mut response).await.unwrap() > 0);
            connections.push(stream);
        }
        connections
    }

    /// Runs the phase in which jobs wait, since the cloud has no machines yet.
    async fn run_waiting_jobs_phase(&mut self) {
        for _ in 0..self.options.waiting {
            self.submit_array().await;
        }
        if self.options.waiting > 0 {
            tokio::time::sleep(SETTLE_TIME).await;
            self.end_phase("waiting jobs");
        }
    }

    /// Submits services that fill most machines, and waits until their tasks run.
    async fn fill_machines(&mut self) {
        self.fleet.set_capacity(self.options.machines);
        let array_machines = self.options.machines / ARRAY_MACHINES_DIVISOR;
        let machines = (self.options.machines - array_machines) as u64;
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

    /// Submits arrays at a constant rate for the length of a phase.
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

    /// Waits until the new leader has answered two heartbeats per worker on average.
    async fn wait_for_failover(&self) {
        let target = self.fleet.heartbeats() + 2 * self.options.machines as u64;
        wait_until(|| self.fleet.heartbeats() >= target).await;
    }

    /// Prints the results of the phase and begins the next one.
    fn end_phase(&mut self, phase: &str) {
        let heartbeats_now = self.fleet.heartbeats();
        let heartbeats = heartbeats_now - self.heartbeats_before;
        self.heartbeats_before = heartbeats_now;
        report::print_phase(phase, heartbeats, &self.fleet.size());
        if self.options.native
            && let Some(memory) = self.measured.memory()
        {
            report::print_memory(&memory);
        }
        if let Some(file) = self.measured.dump_profile(phase) {
            let profile = Profile::read(&file).unwrap();
            report::print_profile(&profile, heartbeats, self.options.functions);
        }
    }
}
