//! A repeatable load on one node: what its processor time and memory go to.
//!
//! The node is the real program. The state service, the cloud, the workers and the users are stand-ins
//! in this process, written from the protocol. Under callgrind the node's instructions, allocations and
//! system calls are counted, which depend little on what else the machine does; with `--native` its
//! memory is read instead. See `docs/operating.md` for how to run it.

// A measurement that can't be made ends the program.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cloud;
mod process;
mod profile;
#[path = "../../tests/support/records.rs"]
mod records;
mod state_service;
mod workers;

use axum::Router;
use clap::Parser;
use process::{NodeAddress, NodeProcess};
use profile::Profile;
use state_service::StateService;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use umbervale::http::HttpClient;
use umbervale::wire::encode;
use umbervale::wire::user::{JobKind, JobSubmission, Priority};
use workers::{Fleet, SERVICE_PREFIX};

/// Tasks that fill a machine.
const MAX_TASKS_PER_MACHINE: u64 = 8;
/// How long anything may take under callgrind.
const PATIENCE: Duration = Duration::from_secs(300);

/// What is measured.
#[derive(Debug, Parser)]
struct Options {
    /// Machines of the fleet.
    #[arg(long, default_value_t = 200)]
    machines: usize,
    /// Length of each measured phase, s.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Connections that only stay open, in a phase of their own.
    #[arg(long, default_value_t = 0)]
    connections: usize,
    /// Jobs that wait for machines, in a phase of their own before any machine is rented.
    #[arg(long, default_value_t = 0)]
    waiting: usize,
    /// Between two reports of a worker that has nothing new to tell, s: longer for fleets that are too
    /// large for a node under callgrind.
    #[arg(long, default_value_t = 3)]
    heartbeat_interval: u64,
    /// Tasks of a job.
    #[arg(long, default_value_t = 8)]
    job_tasks: u64,
    /// Between two questions of a user about a job that is not over, s.
    #[arg(long, default_value_t = 5)]
    poll_every: u64,
    /// Submissions a second in the busy phase.
    #[arg(long, default_value_t = 2)]
    submissions: u64,
    /// Measure a follower, and then its take-over, instead of a leader.
    #[arg(long)]
    follower: bool,
    /// Read memory from a node that runs natively instead of counting instructions.
    #[arg(long)]
    native: bool,
    /// Functions listed for each phase.
    #[arg(long, default_value_t = 25)]
    functions: usize,
    /// Given by `cargo bench`.
    #[arg(long, hide = true)]
    bench: bool,
}

/// The load and the measured node.
struct Load {
    options: Options,
    fleet: Arc<Fleet>,
    http: HttpClient,
    measured: NodeProcess,
    front: SocketAddr,
    reports_before: u64,
    jobs: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let options = Options::parse();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("load");
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    let nodes = [free_address("n0").await, free_address("n1").await];
    let fronts = nodes.iter().map(|node| (node.name.clone(), node.front));
    let fleet = Fleet::new(
        Duration::from_secs(options.heartbeat_interval),
        fronts.collect(),
    );
    let state = serve(Arc::<StateService>::default().router()).await;
    let cloud = serve(cloud::router(fleet.clone())).await;
    for node in &nodes {
        let text = process::settings(node, &nodes, state, cloud, options.heartbeat_interval);
        std::fs::write(directory.join(format!("{}.toml", node.name)), text).unwrap();
    }
    let start = |name: &str, profiled: bool| {
        let settings = directory.join(format!("{name}.toml"));
        let log = directory.join(format!("{name}.log"));
        let profiles = profiled.then(|| directory.join("callgrind"));
        NodeProcess::start(&settings, &log, profiles).unwrap()
    };
    // Whoever starts first leads.
    let profiled = !options.native;
    let (first, second) = (nodes[0].front, nodes[1].front);
    let mut other = start("n0", profiled && !options.follower);
    wait_until_ready(first).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut measured = start("n1", profiled && options.follower);
    wait_until_ready(second).await;
    let mut front = second;
    if !options.follower {
        std::mem::swap(&mut other, &mut measured);
        front = first;
    }
    let mut load = Load {
        options,
        fleet,
        http: HttpClient::default(),
        measured,
        front,
        reports_before: 0,
        jobs: 0,
    };
    load.measure(other).await;
}

impl Load {
    async fn measure(&mut self, mut other: NodeProcess) {
        self.end_phase("start");
        self.pass_time().await;
        self.end_phase("idle");
        let open = self.open_connections().await;
        if !open.is_empty() {
            self.end_phase("connections");
        }
        drop(open);
        // The cloud has no machine yet.
        for _ in 0..self.options.waiting {
            self.submit("run-2", JobKind::Array).await;
        }
        if self.options.waiting > 0 {
            tokio::time::sleep(Duration::from_secs(2)).await;
            self.end_phase("waiting jobs");
        }
        self.fleet.allow(self.options.machines);
        // An eighth of the machines is left for the arrays of the busy phase.
        let machines = (self.options.machines - self.options.machines / 8) as u64;
        let services = machines * MAX_TASKS_PER_MACHINE / self.options.job_tasks;
        for _ in 0..services {
            self.submit(SERVICE_PREFIX, JobKind::Service).await;
        }
        self.wait_for_tasks((services * self.options.job_tasks) as usize)
            .await;
        self.end_phase("fill");
        self.pass_time().await;
        self.end_phase("reports");
        for _ in 0..self.options.seconds {
            for _ in 0..self.options.submissions {
                self.submit("run-2", JobKind::Array).await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        self.end_phase("busy");
        other.kill();
        if self.options.follower {
            let before = self.heartbeats();
            let all = before + 2 * self.options.machines as u64;
            wait_until(|| self.heartbeats() >= all).await;
            self.end_phase("take-over");
            self.pass_time().await;
            self.end_phase("after");
        }
    }

    /// Connections on which a request was answered and that stay open.
    async fn open_connections(&self) -> Vec<TcpStream> {
        let mut open = Vec::new();
        for _ in 0..self.options.connections {
            let mut stream = TcpStream::connect(self.front).await.unwrap();
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

    fn heartbeats(&self) -> u64 {
        self.fleet.heartbeats.load(Ordering::Relaxed)
    }

    async fn pass_time(&self) {
        tokio::time::sleep(Duration::from_secs(self.options.seconds)).await;
    }

    async fn wait_for_tasks(&self, tasks: usize) {
        wait_until(|| self.fleet.size().1 >= tasks).await;
    }

    /// Submits a job, and asks about it from then on.
    async fn submit(&mut self, prefix: &str, kind: JobKind) {
        self.jobs += 1;
        let id = format!("{prefix}{:05}", self.jobs);
        let body = encode(&job(&id, kind, self.options.job_tasks));
        let front = self.front;
        let answer = self
            .http
            .call(
                hyper::Method::POST,
                front,
                "/submissions",
                Some(body),
                PATIENCE,
            )
            .await
            .unwrap();
        assert!(answer.status < 300, "submission: {}", answer.status);
        let http = self.http.clone();
        let poll_every = Duration::from_secs(self.options.poll_every);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(poll_every).await;
                let path = format!("/submissions/{id}");
                let answer = http
                    .call(hyper::Method::GET, front, &path, None, PATIENCE)
                    .await;
                // As the value of "status"; a field is called "done" as well.
                let over = |body: &[u8]| body.windows(11).any(|text| text == b"status\xa4done");
                if answer.is_ok_and(|answer| over(&answer.body)) {
                    return;
                }
            }
        });
    }

    /// Prints what the phase cost, and begins the next one.
    fn end_phase(&mut self, phase: &str) {
        let heartbeats = self.heartbeats() - self.reports_before;
        self.reports_before = self.heartbeats();
        let (machines, tasks) = self.fleet.size();
        println!(
            "== {phase}: {heartbeats} heartbeats answered, {machines} machines, {tasks} tasks run"
        );
        if let Some((now, most)) = self.measured.memory_mb()
            && self.options.native
        {
            println!("   memory {now:.2} MB, at most {most:.2} MB");
        }
        let Some(file) = self.measured.dump(phase) else {
            return;
        };
        let profile = Profile::read(&file).unwrap();
        let total = profile.total();
        println!(
            "   {:.1} million instructions, {:.1} thousand a report",
            total as f64 / 1e6,
            total as f64 / 1e3 / heartbeats.max(1) as f64
        );
        let allocations = profile.calls_of(&["malloc", "calloc", "realloc"]);
        println!("   {allocations} allocations");
        self.print_functions(&profile);
    }

    fn print_functions(&self, profile: &Profile) {
        let total = profile.total().max(1);
        let print = |name: &str, instructions: u64, calls: u64| {
            let share = instructions as f64 * 100.0 / total as f64;
            println!("   {share:5.1}% {calls:9} calls {name}");
        };
        let called = profile.inclusive_of("umbervale::");
        for (name, cost) in called.into_iter().take(self.options.functions) {
            print(name, cost.inclusive, cost.calls);
        }
        let mut own: Vec<_> = profile.functions.iter().collect();
        own.sort_by_key(|(_, cost)| std::cmp::Reverse(cost.own));
        println!("   own:");
        for (name, cost) in own.into_iter().take(self.options.functions) {
            print(name, cost.own, cost.calls);
        }
    }
}

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

async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Addresses that are free now.
async fn free_address(name: &str) -> NodeAddress {
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let back = TcpListener::bind("127.0.0.1:0").await.unwrap();
    NodeAddress {
        name: name.into(),
        front: front.local_addr().unwrap(),
        back: back.local_addr().unwrap(),
    }
}

async fn wait_until(mut what: impl FnMut() -> bool) {
    let wait = async {
        while !what() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect("in time");
}

async fn wait_until_ready(front: SocketAddr) {
    let http = HttpClient::default();
    let ready = async {
        loop {
            let answer = http
                .call(hyper::Method::GET, front, "/ready", None, PATIENCE)
                .await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(PATIENCE, ready)
        .await
        .expect("ready in time");
}
