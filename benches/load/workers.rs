//! Workers, written from the protocol: each reports to one node on a connection of its own and
//! carries orders out at once.

use axum::Router;
use axum::body::Bytes;
use axum::http::StatusCode;
use axum::routing::post;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use umbervale::http::{HttpClient, HttpResponse};
use umbervale::wire::cloud as wire_cloud;
use umbervale::wire::worker::{
    DirectCommands, Heartbeat, HeartbeatResponse, LeaderRedirect, Task, WorkerCommand,
};
use umbervale::wire::worker::{ExitReason, TaskState};
use umbervale::wire::{decode, encode};

/// Least time between two reports.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a worker waits for an answer: longer than the protocol's 4 s, since a node under
/// callgrind takes some fifty times as long.
const PATIENCE: Duration = Duration::from_secs(8);
/// How long a task runs that isn't a service's.
const RUN_FOR: Duration = Duration::from_secs(40);
/// Jobs whose ids begin so are services, which don't end.
pub const SERVICE_PREFIX: &str = "run-1";

#[derive(Debug)]
struct Machine {
    zone: String,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// A higher token has come directly, which is reported at once.
    heartbeat_now: bool,
    tasks: BTreeMap<(String, u64), RunningTask>,
}

#[derive(Debug)]
struct RunningTask {
    state: TaskState,
    ends: Instant,
}

/// All workers, and the machines they are on.
pub struct Fleet {
    machines: Mutex<BTreeMap<String, Machine>>,
    /// Wakes workers that have something new to report.
    changed: Notify,
    /// Most machines.
    capacity: AtomicUsize,
    rented: AtomicU64,
    /// Reports answered with 200.
    pub heartbeats: AtomicU64,
    nodes: Vec<(String, SocketAddr)>,
    /// Between two reports that tell nothing new.
    heartbeat_interval: Duration,
}

impl Fleet {
    /// A fleet without machines, that can have none yet, whose workers report to `nodes`.
    pub fn new(heartbeat_interval: Duration, nodes: Vec<(String, SocketAddr)>) -> Arc<Fleet> {
        Arc::new(Fleet {
            machines: Mutex::default(),
            changed: Notify::new(),
            capacity: AtomicUsize::new(0),
            rented: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            nodes,
            heartbeat_interval,
        })
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Lets the cloud rent up to so many machines.
    pub fn allow(&self, machines: usize) {
        self.capacity.store(machines, Ordering::Relaxed);
    }

    /// How many machines there are, and how many tasks run on them.
    pub fn size(&self) -> (usize, usize) {
        let machines = self.machines();
        let tasks = machines.values().flat_map(|machine| machine.tasks.values());
        let running = tasks.filter(|task| task.state == TaskState::Running);
        (machines.len(), running.count())
    }

    /// Rents as many machines as there is capacity for.
    pub fn rent(self: &Arc<Self>, rent: &wire_cloud::RentRequest) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..rent.count {
            if self.machines().len() >= self.capacity.load(Ordering::Relaxed) {
                break;
            }
            let number = self.rented.fetch_add(1, Ordering::Relaxed);
            let name = format!("host-{number:06}");
            let machine = Machine {
                zone: rent.zone.clone(),
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                heartbeat_now: false,
                tasks: BTreeMap::new(),
            };
            self.machines().insert(name.clone(), machine);
            tokio::spawn(self.clone().work(name.clone(), number));
            names.push(name);
        }
        names
    }

    /// Takes machines back; their workers end.
    pub fn take_back(&self, names: &[String]) {
        let mut machines = self.machines();
        for name in names {
            machines.remove(name);
        }
    }

    /// A page of the machine list, and whether there are more.
    pub fn list(&self, after: Option<&str>, page: usize) -> (Vec<wire_cloud::ListedMachine>, bool) {
        let machines = self.machines();
        let mut rest = machines
            .iter()
            .filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let listed = rest.by_ref().take(page);
        let listed = listed.map(|(name, machine)| wire_cloud::ListedMachine {
            id: name.clone(),
            machine_type: crate::cloud::MACHINE_TYPE.into(),
            zone: machine.zone.clone(),
            spot: false,
            state: wire_cloud::MachineState::Running,
            age_s: 1.0,
        });
        let listed = listed.collect();
        (listed, rest.next().is_some())
    }

    /// Carries out orders that were sent directly.
    fn take_direct_orders(&self, name: &str, direct: &DirectCommands) {
        if let Some(machine) = self.machines().get_mut(name) {
            machine.sequence += 1;
            if direct.fencing_token >= machine.fencing_token
                && direct.incarnation == machine.incarnation
            {
                machine.heartbeat_now |= direct.fencing_token > machine.fencing_token;
                machine.fencing_token = direct.fencing_token;
                machine.carry_out(&direct.commands);
            }
        }
        self.changed.notify_waiters();
    }

    /// Listens for direct orders to a machine, on a port of its own.
    async fn listen(self: &Arc<Self>, name: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fleet, name) = (self.clone(), name.to_owned());
        let carry_out = move |body: Bytes| {
            if let Ok(direct) = decode::<DirectCommands>(&body) {
                fleet.take_direct_orders(&name, &direct);
            }
            std::future::ready(StatusCode::OK)
        };
        let router = Router::new().route("/commands", post(carry_out));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Whether a higher token has come directly since the last report.
    fn is_asked_for_heartbeat(&self, name: &str) -> bool {
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        machine.is_some_and(|machine| std::mem::take(&mut machine.heartbeat_now))
    }

    /// One worker, until its machine is taken back.
    async fn work(self: Arc<Self>, name: String, number: u64) {
        let http = HttpClient::with_max_idle_connections(1);
        let Ok(address) = self.listen(&name).await else {
            return;
        };
        let mut node = number as usize % self.nodes.len();
        // Reports of a fleet that was rented at once are spread evenly, without chance.
        let phase = self.heartbeat_interval.mul_f64((number % 97) as f64 / 97.0);
        let mut last_tasks = 0;
        tokio::time::sleep(phase).await;
        loop {
            let sent = Instant::now();
            let Some(heartbeat) = self.next_heartbeat(&name, address) else {
                return;
            };
            let body = Some(encode(&heartbeat));
            let front = self.nodes[node].1;
            let answer = http
                .call(hyper::Method::POST, front, "/v1/report", body, PATIENCE)
                .await;
            if let Ok(answer) = &answer
                && answer.status == 200
            {
                self.heartbeats.fetch_add(1, Ordering::Relaxed);
                let changed = self.take_orders(&name, answer);
                last_tasks = self.pause(&name, sent, changed, last_tasks).await;
                continue;
            }
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            node = self.other_node(node, answer.ok().as_ref());
        }
    }

    /// What the worker reports now; none if its machine was taken back.
    fn next_heartbeat(&self, name: &str, address: SocketAddr) -> Option<Heartbeat> {
        let mut machines = self.machines();
        let machine = machines.get_mut(name)?;
        machine.advance();
        Some(machine.heartbeat(name, address))
    }

    /// Carries out the orders of an answer; whether there were any.
    fn take_orders(&self, name: &str, answer: &HttpResponse) -> bool {
        let Ok(commands) = decode::<HeartbeatResponse>(&answer.body) else {
            return false;
        };
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        let Some(machine) =
            machine.filter(|machine| commands.fencing_token >= machine.fencing_token)
        else {
            return false;
        };
        machine.fencing_token = commands.fencing_token;
        machine.carry_out(&commands.commands);
        !commands.commands.is_empty()
    }

    /// The node that an answer names, or the next one.
    fn other_node(&self, node: usize, answer: Option<&HttpResponse>) -> usize {
        let elsewhere = answer.and_then(|answer| decode::<LeaderRedirect>(&answer.body).ok());
        let named = elsewhere.and_then(|elsewhere| elsewhere.leader);
        let known = self
            .nodes
            .iter()
            .position(|(name, _)| Some(name) == named.as_ref());
        known.unwrap_or((node + 1) % self.nodes.len())
    }

    /// Waits until the next report is due: soon after a change, else after the usual time.
    async fn pause(&self, name: &str, sent: Instant, changed: bool, last_tasks: usize) -> usize {
        let tasks = {
            let mut machines = self.machines();
            let Some(machine) = machines.get_mut(name) else {
                return 0;
            };
            machine.tasks.len()
        };
        let due = match changed || tasks != last_tasks {
            true => sent + MIN_HEARTBEAT_INTERVAL,
            false => sent + self.heartbeat_interval,
        };
        while Instant::now() < due {
            let asked = self.changed.notified();
            if self.is_asked_for_heartbeat(name) {
                sleep_until(sent + MIN_HEARTBEAT_INTERVAL).await;
                break;
            }
            let _ = tokio::time::timeout_at(due, asked).await;
        }
        tasks
    }
}

impl Machine {
    /// Tasks that wait for their image begin, and those that have run long enough end.
    fn advance(&mut self) {
        let now = Instant::now();
        for ((name, _), task) in &mut self.tasks {
            match task.state {
                TaskState::Fetching => task.state = TaskState::Running,
                TaskState::Running if now >= task.ends && !name.starts_with(SERVICE_PREFIX) => {
                    task.state = TaskState::Exited;
                }
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let started = RunningTask {
                        state: TaskState::Fetching,
                        ends: Instant::now() + RUN_FOR,
                    };
                    self.tasks
                        .entry((task.clone(), *attempt))
                        .or_insert(started);
                }
                WorkerCommand::Stop { task, attempt, .. }
                | WorkerCommand::Forget { task, attempt } => {
                    self.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    fn heartbeat(&mut self, name: &str, address: SocketAddr) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), it)| Task {
            task: task.clone(),
            attempt: *attempt,
            state: it.state,
            exit_reason: (it.state == TaskState::Exited).then_some(ExitReason::Completed),
            checkpoint_saved: None,
        });
        Heartbeat {
            machine: name.into(),
            address: address.to_string(),
            machine_type: crate::cloud::MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }
}
