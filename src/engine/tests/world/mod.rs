//! A small world under a fake clock: engines, a state service, a cloud and workers, written
//! from the protocol. It counts rules broken as the workers see them.

mod cloud;
mod faults;
mod state_service;
mod workers;

pub use faults::{Faults, ListFault};
pub use workers::{OnMachine, Worker};

use super::replay::{Input, Process, Recorder, Script};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::records::{self, FinalRecord, JobRecord};
use crate::engine::{Command, Effect, Engine, Reply, ReplyId};
use crate::model::UnixTime;
use crate::peer::Announcement;
use crate::settings::{Settings, tests::SAMPLE};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::cloud as wc;
use crate::wire::store as ws;
use crate::wire::user::{JobKind, JobState, JobSubmission};
use crate::wire::worker::{ExitReason, Heartbeat, Task, TaskState, WorkerCommand};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state_service::{Store, Watch};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds of the simulation.
pub type Ms = u64;

const LATENCY: Ms = 5;
const CLOUD_LATENCY: Ms = 80;
const BOOT: Ms = 20_000;
const FETCH: Ms = 8_000;
const WORKER_LEASE: Ms = 17_000;
const CANCEL: Ms = 42_000;
const WORKER_TIMEOUT: Ms = 4_000;
/// From here on a team's limit is none.
pub const NO_LIMIT: f64 = 1e6;

enum Ev {
    Tick(usize),
    Announce(usize),
    Store(usize, u64, u64, StoreCall),
    Watch(Watch),
    Command(usize, u64, Command),
    Send(String),
    Receive(String, u64, Option<Reply>),
    Direct(String, crate::wire::worker::DirectCommands),
    /// A transaction whose sender gave it up.
    Late(ws::Transaction),
    Copy(Heartbeat),
}

struct Node {
    engine: Option<Engine>,
    epoch: u64,
    zone: String,
    started: Ms,
}

impl Node {
    /// The seed is fixed: the same verdict every time.
    fn seed(&self, node: usize) -> u64 {
        node as u64 * 1000 + self.epoch
    }
}

pub struct World {
    pub now: Ms,
    order: u64,
    queue: BTreeMap<(Ms, u64), Ev>,
    nodes: Vec<Node>,
    store: Store,
    pub workers: BTreeMap<String, Worker>,
    rented: u64,
    requests: BTreeMap<String, Vec<String>>,
    replies: BTreeMap<ReplyId, (String, u64)>,
    /// Answers to what is not a report.
    answers: BTreeMap<ReplyId, Reply>,
    pub faults: Faults,
    pub jobs: BTreeMap<String, JobSubmission>,
    pub cancelled: BTreeMap<String, Ms>,
    pub broken: Vec<String>,
    /// Time that the engines took: for whoever measures, no test depends on it.
    pub spent: std::time::Duration,
    /// The longest step of each kind, likewise.
    pub longest: BTreeMap<&'static str, std::time::Duration>,
    pub starts: u64,
    /// Tasks that have completed.
    pub finished: BTreeSet<String>,
    /// Tasks that take this much longer than their job says, ms.
    pub longer: BTreeMap<String, Ms>,
    heartbeats: u64,
    /// Pages of the cloud's lists so far.
    pub listed_pages: u64,
    /// Where each task was started.
    places: BTreeMap<String, BTreeSet<String>>,
    /// Jobs of which something was started.
    pub begun: BTreeSet<String>,
    pub returned: Vec<String>,
    /// The node that new machines' workers begin with, if a test cares.
    pub first_node: Option<usize>,
    /// Most GPUs of the one team.
    gpus_max: f64,
    /// Items a page of the state service's lists holds: few, so that paging is exercised.
    pub page: usize,
    /// The state service's limits: changes of a transaction, bytes of a value.
    pub txn_ops: usize,
    pub value_max: usize,
    /// Further settings, after those of the state service.
    next: &'static str,
    /// Decides how slow each message is; a test that varies it says so when it fails.
    pub links: SmallRng,
    /// Commands for a node that are due within this time arrive in one batch, ms; none: one by one.
    pub batch_within: Option<Ms>,
    /// Writes the engines' steps down, if asked to.
    recorder: Option<Recorder>,
}

fn settings_text(gpus_max: f64, next: &str) -> String {
    let text = SAMPLE.replace("gpus_max = 8.0", &format!("gpus_max = {gpus_max:?}"));
    text.replace("txn_ops = 24", &format!("txn_ops = 24\n{next}"))
}

/// The settings of one of that many nodes, from a file's text.
pub fn settings_of(text: &str, node: usize, nodes: usize) -> Settings {
    let mut s = Settings::parse(text, "sample").unwrap();
    let zone = |n: usize| if n == 1 { "west" } else { "east" }.to_owned();
    let peer = s.peers[0].clone();
    s.node = format!("n{node}");
    s.zone = zone(node);
    s.peers = (0..nodes)
        .filter(|n| *n != node)
        .map(|n| crate::settings::Peer {
            node: format!("n{n}"),
            zone: zone(n),
            ..peer.clone()
        })
        .collect();
    s
}

/// What a step begins with.
fn kind_of(command: Option<&Command>) -> &'static str {
    match command {
        None => "the time alone",
        Some(Command::Heartbeat { .. }) => "a report",
        Some(Command::StoreCallCompleted { result, .. }) => match result {
            Ok(StoreReply::Listing(_)) => "a page of records",
            Ok(StoreReply::Changes(_)) => "changes",
            Ok(StoreReply::Committed { .. }) => "a transaction's answer",
            _ => "another answer of the state service",
        },
        Some(Command::CloudCallCompleted { .. }) => "an answer of the cloud",
        Some(_) => "anything else",
    }
}

impl World {
    pub fn new(nodes: usize, gpus_max: f64) -> World {
        World::with_limits_to_come(nodes, gpus_max, "")
    }

    /// With `next` for the state service's limits to come.
    pub fn with_limits_to_come(nodes: usize, gpus_max: f64, next: &'static str) -> World {
        let mut world = World {
            now: 0,
            order: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            store: Store::default(),
            workers: BTreeMap::new(),
            rented: 0,
            requests: BTreeMap::new(),
            replies: BTreeMap::new(),
            answers: BTreeMap::new(),
            faults: Faults::default(),
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            broken: Vec::new(),
            spent: Default::default(),
            longest: BTreeMap::new(),
            starts: 0,
            finished: BTreeSet::new(),
            longer: BTreeMap::new(),
            heartbeats: 0,
            listed_pages: 0,
            places: BTreeMap::new(),
            begun: BTreeSet::new(),
            returned: Vec::new(),
            first_node: None,
            gpus_max,
            page: 5,
            txn_ops: 24,
            value_max: 7 * 1024,
            next,
            links: SmallRng::seed_from_u64(0),
            batch_within: None,
            recorder: None,
        };
        let text = settings_text(gpus_max, next);
        for node in 0..nodes {
            let zone = settings_of(&text, node, nodes).zone;
            world.nodes.push(Node {
                engine: None,
                epoch: 0,
                zone,
                started: 0,
            });
        }
        for node in 0..nodes {
            world.start(node);
        }
        world
    }

    pub fn start(&mut self, node: usize) {
        let text = settings_text(self.gpus_max, self.next);
        let settings = Arc::new(settings_of(&text, node, self.nodes.len()));
        let it = &mut self.nodes[node];
        it.epoch += 1;
        it.started = self.now;
        it.engine = Some(Engine::new(settings, it.seed(node)));
        self.record_start(node);
        self.at(0, Ev::Tick(node));
        self.at(100, Ev::Announce(node));
    }

    /// Records the engines' steps from here on: called before the first one.
    pub fn record(&mut self) {
        self.recorder = Some(Recorder::default());
        for node in 0..self.nodes.len() {
            self.record_start(node);
        }
    }

    /// Ends the recording.
    pub fn recorded(&mut self) -> Script {
        self.recorder.take().unwrap().finish()
    }

    fn record_start(&mut self, node: usize) {
        if let Some(recorder) = &mut self.recorder {
            recorder.start(Process {
                settings: settings_text(self.gpus_max, self.next),
                node,
                nodes: self.nodes.len(),
                seed: self.nodes[node].seed(node),
                steps: Vec::new(),
            });
        }
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].engine = None;
        self.nodes[node].epoch += 1;
        self.store.watches.retain(|w| w.node != node);
    }

    /// Ends the node's process, and starts it again that much later.
    pub fn restart(&mut self, node: usize, away: Ms) {
        self.crash(node);
        self.run(away);
        self.start(node);
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .filter(|n| self.engine(*n).is_some_and(|e| e.status().leading))
            .max_by_key(|n| self.engine(*n).map(|e| e.status().term))
    }

    pub fn engine(&self, node: usize) -> Option<&Engine> {
        self.nodes[node].engine.as_ref()
    }

    fn at(&mut self, delay: Ms, ev: Ev) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), ev);
    }

    /// How long the next message takes.
    fn link(&mut self) -> Ms {
        match self.faults.slow_links {
            0 => LATENCY,
            most => LATENCY + self.links.random_range(0..=most),
        }
    }

    /// A message arrives, after as long as its link takes.
    fn deliver(&mut self, ev: Ev) {
        let delay = self.link();
        self.at(delay, ev);
    }

    /// Any node's acceptance of a job.
    pub fn submit(&mut self, job: JobSubmission) {
        let record = JobRecord::new(job.clone(), UnixTime::from_millis(self.now));
        self.put(&records::job_key(&job.id), records::job_value(&record));
        self.jobs.insert(job.id.clone(), job);
    }

    /// Any node's acceptance of a cancellation.
    pub fn cancel(&mut self, id: &str) {
        let key = records::job_key(id);
        let (value, _, _) = self.store.keys.get(&key).unwrap().clone();
        let record = records::read_job(value).unwrap().cancelled();
        let last = FinalRecord {
            state: JobState::Cancelled,
            tasks: record.job.tasks,
        };
        self.put(&key, records::job_value(&record));
        self.put(&records::final_key(id), records::final_value(&last));
        self.cancelled.insert(id.into(), self.now);
    }

    /// What a node says of a job that waits for others; none if it can't say in time.
    pub fn step_state(&mut self, node: usize, id: &str) -> Option<JobState> {
        let reply = self.ask_step(node, id);
        self.run_until(1_500, |w| w.answers.contains_key(&reply));
        match self.answer(reply) {
            Some(Reply::BlockedJobState(state)) => state,
            _ => None,
        }
    }

    /// Asks a node where a job's tasks stand.
    pub fn ask_counts(&mut self, node: usize, id: &str) {
        self.order += 1;
        let (job, reply) = (id.into(), self.order);
        let command = Command::CountTasks { job, reply };
        self.step(node, self.nodes[node].epoch, Some(command));
    }

    /// Begins such a question.
    pub fn ask_step(&mut self, node: usize, id: &str) -> ReplyId {
        self.order += 1;
        let reply = self.order;
        let job = id.into();
        let command = Command::QueryBlockedJob { job, reply };
        self.step(node, self.nodes[node].epoch, Some(command));
        reply
    }

    /// The answer to a question, once.
    pub fn answer(&mut self, reply: ReplyId) -> Option<Reply> {
        self.answers.remove(&reply)
    }

    /// A job's live record, read now.
    pub fn live_record(&self, id: &str) -> Option<JobRecord> {
        let (value, _, _) = self.store.keys.get(&records::job_key(id))?;
        records::read_job(value.clone())
    }

    /// Which of these jobs a node does not know to have been accepted.
    pub fn not_known(&mut self, node: usize, ids: &[&str]) -> Vec<String> {
        self.order += 1;
        let reply = self.order;
        let jobs = ids.iter().map(|id| (*id).into()).collect();
        let command = Command::FindUnknownJobs { jobs, reply };
        self.step(node, self.nodes[node].epoch, Some(command));
        match self.answers.remove(&reply) {
            Some(Reply::UnknownJobs(jobs)) => jobs.iter().map(ToString::to_string).collect(),
            other => panic!("{other:?}"),
        }
    }

    /// The node that confirmed a cancellation tells another one.
    pub fn tell_of_cancellation(&mut self, node: usize, id: &str) {
        let command = Command::JobCancelled(id.into());
        self.step(node, self.nodes[node].epoch, Some(command));
    }

    /// Removes a record as somebody else does.
    pub fn remove(&mut self, key: &str) {
        self.write(&ws::Transaction::default().delete(key));
    }

    /// A transaction of somebody else.
    pub fn write(&mut self, txn: &ws::Transaction) {
        self.commit(txn).unwrap();
    }

    /// Puts a record there that somebody else wrote.
    pub fn put(&mut self, key: &str, value: rmpv::Value) {
        self.write(&ws::Transaction::default().put(key, value));
    }

    pub fn state(&self, id: &str) -> Option<JobState> {
        let (value, _, _) = self.store.keys.get(&records::final_key(id))?;
        Some(records::read_final(value.clone())?.state)
    }

    pub fn done(&self, id: &str) -> bool {
        self.state(id) == Some(JobState::Done)
    }

    pub fn keys(&self, prefix: &str) -> usize {
        self.store
            .keys
            .keys()
            .filter(|k| k.starts_with(prefix))
            .count()
    }

    pub fn running(&self, id: &str) -> usize {
        let of = |(name, t): &(&String, &OnMachine)| {
            name.starts_with(&format!("{id}/")) && t.state == TaskState::Running
        };
        self.workers
            .values()
            .map(|w| w.tasks.iter().filter(of).count())
            .sum()
    }

    /// Tasks that run, of all jobs.
    pub fn all_running(&self) -> usize {
        self.all_running_of("run-")
    }

    /// Of jobs whose names begin so; not on machines that hang.
    pub fn all_running_of(&self, jobs: &str) -> usize {
        let lives = |name: &&String| !self.faults.hung.contains(*name);
        let workers = self.workers.keys().filter(lives);
        let tasks = workers.flat_map(|name| &self.workers[name].tasks);
        let runs =
            |(id, t): &(&String, &OnMachine)| id.starts_with(jobs) && t.state == TaskState::Running;
        tasks.filter(runs).count()
    }

    /// Every worker reports within this time from now.
    pub fn heartbeat_within(&mut self, ms: Ms) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for (n, name) in (0..).zip(names) {
            self.send_in(&name, n % ms);
        }
    }

    /// The machine with a task of the job on it.
    pub fn machine_of(&self, id: &str) -> Option<String> {
        let on = |w: &Worker| w.tasks.keys().any(|t| t.starts_with(&format!("{id}/")));
        self.workers
            .iter()
            .find(|(_, w)| on(w))
            .map(|(name, _)| name.clone())
    }

    /// Machines with something on them.
    pub fn busy(&self) -> BTreeSet<String> {
        let busy = self.workers.iter().filter(|(_, w)| !w.tasks.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// What a machine has reported so far.
    pub fn heartbeats(&self, machine: &str) -> Vec<Heartbeat> {
        self.workers[machine].heartbeats.clone()
    }

    /// Jobs of which something neither runs nor has ended.
    pub fn waiting(&self) -> Vec<String> {
        let open = |id: &&String| !self.cancelled.contains_key(*id) && !self.done(id);
        let missing = |id: &&String| {
            let of = format!("{id}/");
            let ended = self.finished.iter().filter(|t| t.starts_with(&of)).count();
            ((self.running(id) + ended) as u64) < self.jobs[*id].tasks
        };
        let jobs = self.jobs.keys().filter(open).filter(missing);
        jobs.cloned().collect()
    }

    /// Whether a user can still call the job off.
    pub fn is_live(&self, id: &str) -> bool {
        self.store.keys.contains_key(&records::job_key(id))
    }

    /// Late copies of reports, newest first, at every node that is up; their answers are lost.
    pub fn repeat_heartbeats(&mut self, heartbeats: &[Heartbeat]) {
        for node in 0..self.nodes.len() {
            for heartbeat in heartbeats.iter().rev().cloned() {
                self.order += 1;
                let reply = self.order;
                let command = Command::Heartbeat { heartbeat, reply };
                self.step(node, self.nodes[node].epoch, Some(command));
            }
        }
    }

    /// The worker loses its tasks and goes on with a new session at once.
    pub fn restart_worker(&mut self, machine: &str) {
        let w = self.workers.get_mut(machine).unwrap();
        w.incarnation += 1;
        w.answered = self.now;
        w.tasks.clear();
        w.next = 0;
    }

    pub fn term(&self) -> u64 {
        let leader = self.leader().and_then(|n| self.engine(n));
        leader.map_or(0, |e| e.status().term)
    }

    /// Puts a task on a machine that no leader ordered there.
    pub fn plant(&mut self, machine: &str, task: &str) {
        let planted = OnMachine {
            attempt: 1,
            since: self.now,
            state: TaskState::Running,
            exit_reason: None,
            stop: false,
            checkpoint_saved: None,
        };
        let w = self.workers.get_mut(machine).unwrap();
        w.tasks.insert(task.into(), planted);
        w.next = 0;
    }

    /// The workers and what is on them, for the message of a failed test.
    pub fn describe(&self) -> String {
        let line = |(name, w): (&String, &Worker)| {
            let tasks: Vec<String> = w
                .tasks
                .iter()
                .map(|(id, t)| format!("{id} try {} {:?} {:?}", t.attempt, t.state, t.exit_reason))
                .collect();
            let (zone, node, token, session) = (&w.zone, w.node, w.fencing_token, w.incarnation);
            format!("{name} {zone} at n{node} token {token} session {session}: {tasks:?}")
        };
        let lines: Vec<String> = self.workers.iter().map(line).collect();
        let leader = self.leader();
        format!(
            "leader {leader:?}, returned {:?}\n{}",
            self.returned,
            lines.join("\n")
        )
    }

    pub fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let ((at, _), ev) = self.queue.pop_first().unwrap();
            self.now = at;
            self.expire();
            self.work();
            self.handle(ev);
        }
        self.now = end;
    }

    pub fn run_until(&mut self, most: Ms, what: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if what(self) {
                return true;
            }
            self.run(100);
        }
        what(self)
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(node) => {
                if self.nodes[node].engine.is_some() {
                    let epoch = self.nodes[node].epoch;
                    self.step(node, epoch, []);
                    self.at(200, Ev::Tick(node));
                }
            }
            Ev::Announce(from) => {
                let Some(view) = self.engine(from).map(Engine::status) else {
                    return;
                };
                for to in 0..self.nodes.len() {
                    let cut = self.faults.zones_cut && self.nodes[to].zone != self.nodes[from].zone;
                    let alone = |node: usize| self.faults.no_peers.contains(&node);
                    let cut = cut || alone(from) || alone(to);
                    if to != from && !cut {
                        let said = Announcement {
                            node: format!("n{from}"),
                            term: view.term,
                            store_reachable: view.store_reachable,
                        };
                        let epoch = self.nodes[to].epoch;
                        self.deliver(Ev::Command(to, epoch, Command::PeerAnnounced(said)));
                    }
                }
                self.at(1000, Ev::Announce(from));
            }
            Ev::Store(node, epoch, call_id, call) => self.serve_store(node, epoch, call_id, &call),
            Ev::Watch(watch) => {
                self.store.watches.push(watch);
                self.serve_watches();
            }
            Ev::Command(node, epoch, command) => {
                let mut batch = vec![command];
                if let Some(ms) = self.batch_within {
                    self.take_commands(node, epoch, ms, &mut batch);
                }
                self.step(node, epoch, batch);
            }
            Ev::Send(name) => {
                if self.workers.get(&name).is_some_and(|w| w.due == self.now) {
                    self.send_heartbeat(&name);
                }
            }
            Ev::Receive(name, sequence, reply) => self.receive(&name, sequence, reply),
            Ev::Direct(name, direct) => {
                let deaf = self.faults.deaf.contains(&name) || self.faults.cut.contains(&name);
                if deaf || self.faults.lose_direct {
                    return;
                }
                // A machine that hangs executes it afterwards, if session and token still match.
                if self.faults.hung.contains(&name) && self.workers.contains_key(&name) {
                    return self.at(100, Ev::Direct(name, direct));
                }
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                if direct.fencing_token >= w.fencing_token && direct.incarnation == w.incarnation {
                    let rises = direct.fencing_token > w.fencing_token;
                    w.fencing_token = direct.fencing_token;
                    w.sequence += 1;
                    // A higher token is reported at once, but not within half a second of the
                    // last report, and not twice in half a lease.
                    if rises && w.rings(self.now) && !w.busy {
                        let delay = (w.sent + 500).saturating_sub(self.now);
                        self.send_in(&name, delay);
                    }
                    self.execute(&name, &direct.commands);
                }
            }
            Ev::Late(txn) => {
                // Its condition may well fail by now.
                let _ = self.commit(&txn);
            }
            Ev::Copy(heartbeat) => self.repeat_heartbeats(&[heartbeat]),
        }
    }

    /// Adds the commands for a process that are due within this time.
    fn take_commands(&mut self, node: usize, epoch: u64, ms: Ms, batch: &mut Vec<Command>) {
        let due = self.queue.range(..=(self.now + ms, u64::MAX));
        let of = |ev: &Ev| matches!(ev, Ev::Command(n, e, _) if (*n, *e) == (node, epoch));
        let keys: Vec<(Ms, u64)> = due.filter(|(_, ev)| of(ev)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(Ev::Command(_, _, command)) = self.queue.remove(&key) {
                batch.push(command);
            }
        }
    }

    fn step(&mut self, node: usize, epoch: u64, batch: impl IntoIterator<Item = Command>) {
        let batch: Vec<Command> = batch.into_iter().collect();
        let it = &mut self.nodes[node];
        if it.epoch != epoch {
            return;
        }
        let (now, started) = (self.now, it.started);
        let Some(engine) = it.engine.as_mut() else {
            return;
        };
        // Each process has a steady clock of its own.
        let kind = kind_of(batch.first());
        let recorder = self.recorder.as_mut();
        let recording = recorder.map(|r| (r, Input::new(now - started, now, &batch)));
        let begun = std::time::Instant::now();
        let effects = engine.step(
            std::time::Duration::from_millis(now - started),
            UnixTime::from_millis(now),
            batch,
        );
        let took = begun.elapsed();
        if let Some((recorder, input)) = recording {
            recorder.record(node, input, &effects, &engine.status());
        }
        self.spent += took;
        let longest = self.longest.entry(kind).or_default();
        *longest = took.max(*longest);
        // Of a large fleet, not at each step.
        if self.workers.len() < 100 || self.order.is_multiple_of(200) {
            assert!(engine.snapshots_agree(), "a machine's room is out of date");
        }
        for effect in effects {
            self.effect(node, epoch, effect);
        }
    }

    fn effect(&mut self, node: usize, epoch: u64, effect: Effect) {
        match effect {
            Effect::Reply { to, reply } => {
                let Some((worker, sequence)) = self.replies.remove(&to) else {
                    self.answers.insert(to, reply);
                    return;
                };
                if self.reaches(&worker, node) {
                    self.deliver(Ev::Receive(worker, sequence, Some(reply)));
                }
            }
            Effect::CallStore { call_id, call, .. } => {
                if let StoreCall::Watch {
                    prefix,
                    after,
                    wait_ms,
                } = call
                {
                    let link = self.link() - LATENCY;
                    let watch = Watch {
                        node,
                        epoch,
                        call_id,
                        prefix,
                        after,
                        until: self.now + link + wait_ms,
                    };
                    return match link {
                        0 => self.handle(Ev::Watch(watch)),
                        delay => self.at(delay, Ev::Watch(watch)),
                    };
                }
                let slow = self.faults.slow_calls.get(&node).copied().unwrap_or(0);
                let link = self.link() - LATENCY;
                match self.faults.store_delay + slow + link {
                    0 => self.serve_store(node, epoch, call_id, &call),
                    delay => self.at(delay, Ev::Store(node, epoch, call_id, call)),
                }
            }
            Effect::CallCloud { call_id, call } => {
                let slow = match call {
                    CloudCall::ListMachines { .. } => self.faults.slow_list,
                    _ => 0,
                };
                let slow = slow + self.link() - LATENCY;
                let result = self.cloud_call(call);
                let command = Command::CloudCallCompleted { call_id, result };
                self.at(CLOUD_LATENCY + slow, Ev::Command(node, epoch, command));
            }
            Effect::SendCommands { address, commands } => {
                let name = format!("host-{:06}", address.port());
                if self.connects(&name, node) {
                    self.deliver(Ev::Direct(name, commands));
                }
            }
        }
    }

    /// Whether a report gets to the node, and its answer back.
    fn reaches(&self, worker: &str, node: usize) -> bool {
        let stays = self.faults.hung.contains(worker) || self.faults.mute.contains(worker);
        !stays && self.connects(worker, node)
    }

    fn connects(&self, worker: &str, node: usize) -> bool {
        let Some(w) = self.workers.get(worker) else {
            return false;
        };
        let cut = self.faults.zones_cut && w.zone != self.nodes[node].zone;
        let cut = cut || self.faults.no_workers.contains(&node);
        !cut && !self.faults.cut.contains(worker)
    }
}
