//! A small world under a fake clock: engines, a state service, a cloud and workers, written
//! from the protocol. It counts rules broken as the workers see them.

use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants as k;
use crate::engine::records::{self, FinalRecord, JobRecord};
use crate::engine::{Command, Effect, Engine, Reply, ReplyId};
use crate::model::Ms;
use crate::peer::Announcement;
use crate::settings::{Settings, tests::SAMPLE};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::cloud as wc;
use crate::wire::store as ws;
use crate::wire::user::{Job, JobState, Kind};
use crate::wire::worker::{Order, Report, Task, TaskState, Why};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const LATENCY: Ms = 5;
const CLOUD_LATENCY: Ms = 80;
const BOOT: Ms = 20_000;
const FETCH: Ms = 8_000;
const WORKER_LEASE: Ms = 17_000;
const CANCEL: Ms = 42_000;
const WORKER_TIMEOUT: Ms = 4_000;
/// From here on a team's limit is none.
pub const NO_LIMIT: f64 = 1e6;

/// What may be wrong with the cloud's lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListFault {
    #[default]
    None,
    /// Each page is the first one, and says that there are more.
    Repeats,
    /// There is always another page, with a machine that nobody rented.
    Endless,
    /// Each page names its machines twice.
    Doubled,
}

/// What goes wrong, switched by the tests.
#[derive(Default)]
pub struct Faults {
    /// The state service answers 503 to all, or to these nodes only.
    pub store_down: bool,
    pub store_refuses: BTreeSet<usize>,
    /// Every nth commit is executed but not answered.
    pub lose_every: u64,
    /// Pairs of zones that can't reach each other.
    pub zones_cut: bool,
    /// Machines that answer nothing and do nothing.
    pub hung: BTreeSet<String>,
    /// Machines on which every task fails.
    pub sick: BTreeSet<String>,
    /// Machines that can't be reached but go on.
    pub cut: BTreeSet<String>,
    /// Jobs whose tasks fail everywhere.
    pub faulty: BTreeSet<String>,
    pub cloud_down: bool,
    /// Machines whose reports arrive, while no answer and no order reaches them.
    pub deaf: BTreeSet<String>,
    /// Nodes that reach no peer, nor peers them.
    pub no_peers: BTreeSet<usize>,
    /// The state service carries calls out this much later, ms, whether or not the caller still
    /// lives.
    pub store_delay: Ms,
    /// Most machines that the cloud has for each zone; none: as many as asked.
    pub capacity: Option<usize>,
    /// Nodes that can't reach the workers, nor they them.
    pub no_workers: BTreeSet<usize>,
    /// Every nth commit gets no answer and is carried out 2 to 12 s later, after newer ones.
    pub late_every: u64,
    /// The same of the next commit that writes a key that begins so, 12 s later.
    pub late_write: Option<&'static str>,
    /// Machines whose reports reach no node, while direct orders reach them.
    pub mute: BTreeSet<String>,
    /// Direct orders reach no machine.
    pub lose_direct: bool,
    /// Of every nth report a copy arrives again, 2 to 38 s later, at all nodes.
    pub copy_every: u64,
    /// Calls and watches' answers of these nodes take this much longer, ms.
    pub slow_calls: BTreeMap<usize, Ms>,
    pub slow_watch: BTreeMap<usize, Ms>,
    /// The state service lists no work and no rounds.
    pub no_records: bool,
    /// What is wrong with the cloud's lists.
    pub list: ListFault,
    /// The cloud's lists are answered this much later than they are made, ms.
    pub slow_list: Ms,
    /// What these nodes call is answered this much later than it is carried out, ms.
    pub slow_answers: BTreeMap<usize, Ms>,
    /// Each message, report, order, call or answer, takes up to this much longer, ms, for itself: a
    /// later one may overtake it. No more than 700: a call and its answer then stay within the
    /// patience of those who wait for them.
    pub slow_links: Ms,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (rmpv::Value, u64, Option<u64>)>,
    revision: u64,
    leases: BTreeMap<u64, (u64, Ms)>,
    log: Vec<(u64, ws::Event)>,
    /// Keys under a lease.
    leased: BTreeSet<String>,
    watches: Vec<Watch>,
    commits: u64,
}

struct Watch {
    node: usize,
    epoch: u64,
    op: u64,
    prefix: String,
    after: u64,
    until: Ms,
}

#[derive(Clone)]
pub struct OnMachine {
    pub attempt: u64,
    pub since: Ms,
    pub state: TaskState,
    why: Option<Why>,
    stop: bool,
}

pub struct Worker {
    zone: String,
    pub node: usize,
    up_at: Ms,
    session: u64,
    seq: u64,
    token: u64,
    sent: Ms,
    /// When its next report is due.
    due: Ms,
    /// When a higher token last made it report.
    rung: Option<Ms>,
    answered: Ms,
    busy: bool,
    pub tasks: BTreeMap<String, OnMachine>,
    images: BTreeSet<String>,
    /// Nothing changes on it by itself before.
    next: Ms,
    /// Reports as sent, for late copies.
    reports: Vec<Report>,
}

enum Ev {
    Tick(usize),
    Announce(usize),
    Store(usize, u64, u64, StoreCall),
    Watch(Watch),
    Command(usize, u64, Command),
    Send(String),
    Receive(String, u64, Option<Reply>),
    Direct(String, crate::wire::worker::DirectOrders),
    /// A transaction whose sender gave it up.
    Late(ws::Txn),
    Copy(Report),
}

struct Node {
    engine: Option<Engine>,
    epoch: u64,
    zone: String,
    started: Ms,
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
    pub jobs: BTreeMap<String, Job>,
    pub cancelled: BTreeMap<String, Ms>,
    pub broken: Vec<String>,
    /// Time that the engines took: for whoever measures, no test depends on it.
    pub spent: std::time::Duration,
    pub starts: u64,
    /// Tasks that have completed.
    pub finished: BTreeSet<String>,
    /// Tasks that take this much longer than their job says, ms.
    pub longer: BTreeMap<String, Ms>,
    reports: u64,
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
}

fn settings(node: usize, nodes: usize, gpus_max: f64, next: &str) -> Settings {
    let text = SAMPLE.replace("gpus_max = 8.0", &format!("gpus_max = {gpus_max:?}"));
    let text = text.replace("txn_ops = 24", &format!("txn_ops = 24\n{next}"));
    let mut s = Settings::parse(&text, "sample").unwrap();
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
            starts: 0,
            finished: BTreeSet::new(),
            longer: BTreeMap::new(),
            reports: 0,
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
        };
        for node in 0..nodes {
            let zone = settings(node, nodes, gpus_max, next).zone;
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
        let settings = settings(node, self.nodes.len(), self.gpus_max, self.next);
        let settings = Arc::new(settings);
        let it = &mut self.nodes[node];
        it.epoch += 1;
        it.started = self.now;
        // The seed is fixed: the same verdict every time.
        it.engine = Some(Engine::new(settings, node as u64 * 1000 + it.epoch));
        self.at(0, Ev::Tick(node));
        self.at(100, Ev::Announce(node));
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
            .filter(|n| self.engine(*n).is_some_and(|e| e.view().leading))
            .max_by_key(|n| self.engine(*n).map(|e| e.view().term))
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
    pub fn submit(&mut self, job: Job) {
        let record = JobRecord::new(job.clone(), self.now);
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
            Some(Reply::Step(state)) => state,
            _ => None,
        }
    }

    /// Begins such a question.
    pub fn ask_step(&mut self, node: usize, id: &str) -> ReplyId {
        self.order += 1;
        let reply = self.order;
        let job = id.into();
        let command = Command::Step { job, reply };
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
        let command = Command::Named { jobs, reply };
        self.step(node, self.nodes[node].epoch, Some(command));
        match self.answers.remove(&reply) {
            Some(Reply::NotKnown(jobs)) => jobs.iter().map(ToString::to_string).collect(),
            other => panic!("{other:?}"),
        }
    }

    /// The node that confirmed a cancellation tells another one.
    pub fn tell_of_cancellation(&mut self, node: usize, id: &str) {
        let command = Command::Cancelled(id.into());
        self.step(node, self.nodes[node].epoch, Some(command));
    }

    /// Removes a record as somebody else does.
    pub fn remove(&mut self, key: &str) {
        self.write(&ws::Txn::default().delete(key));
    }

    /// A transaction of somebody else.
    pub fn write(&mut self, txn: &ws::Txn) {
        self.commit(txn).unwrap();
    }

    /// Puts a record there that somebody else wrote.
    pub fn put(&mut self, key: &str, value: rmpv::Value) {
        self.write(&ws::Txn::default().put(key, value));
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
    pub fn report_within(&mut self, ms: Ms) {
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
    pub fn reports(&self, machine: &str) -> Vec<Report> {
        self.workers[machine].reports.clone()
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
    pub fn repeat_reports(&mut self, reports: &[Report]) {
        for node in 0..self.nodes.len() {
            for report in reports.iter().rev().cloned() {
                self.order += 1;
                let reply = self.order;
                let command = Command::Report { report, reply };
                self.step(node, self.nodes[node].epoch, Some(command));
            }
        }
    }

    /// The worker loses its tasks and goes on with a new session at once.
    pub fn restart_worker(&mut self, machine: &str) {
        let w = self.workers.get_mut(machine).unwrap();
        w.session += 1;
        w.answered = self.now;
        w.tasks.clear();
        w.next = 0;
    }

    pub fn term(&self) -> u64 {
        let leader = self.leader().and_then(|n| self.engine(n));
        leader.map_or(0, |e| e.view().term)
    }

    /// Puts a task on a machine that no leader ordered there.
    pub fn plant(&mut self, machine: &str, task: &str) {
        let planted = OnMachine {
            attempt: 1,
            since: self.now,
            state: TaskState::Running,
            why: None,
            stop: false,
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
                .map(|(id, t)| format!("{id} try {} {:?} {:?}", t.attempt, t.state, t.why))
                .collect();
            let (zone, node, token, session) = (&w.zone, w.node, w.token, w.session);
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
                    self.step(node, epoch, None);
                    self.at(200, Ev::Tick(node));
                }
            }
            Ev::Announce(from) => {
                let Some(view) = self.engine(from).map(Engine::view) else {
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
                            store_ok: view.store_ok,
                        };
                        let epoch = self.nodes[to].epoch;
                        self.deliver(Ev::Command(to, epoch, Command::Announced(said)));
                    }
                }
                self.at(1000, Ev::Announce(from));
            }
            Ev::Store(node, epoch, op, call) => self.serve_store(node, epoch, op, &call),
            Ev::Watch(watch) => {
                self.store.watches.push(watch);
                self.serve_watches();
            }
            Ev::Command(node, epoch, command) => self.step(node, epoch, Some(command)),
            Ev::Send(name) => {
                if self.workers.get(&name).is_some_and(|w| w.due == self.now) {
                    self.send_report(&name);
                }
            }
            Ev::Receive(name, seq, reply) => self.receive(&name, seq, reply),
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
                if direct.token >= w.token && direct.session == w.session {
                    let rises = direct.token > w.token;
                    w.token = direct.token;
                    w.seq += 1;
                    // A higher token is reported at once, but not within half a second of the
                    // last report, and not twice in half a lease.
                    if rises && w.rings(self.now) && !w.busy {
                        let delay = (w.sent + 500).saturating_sub(self.now);
                        self.send_in(&name, delay);
                    }
                    self.execute(&name, &direct.orders);
                }
            }
            Ev::Late(txn) => {
                // Its condition may well fail by now.
                let _ = self.commit(&txn);
            }
            Ev::Copy(report) => self.repeat_reports(&[report]),
        }
    }

    fn step(&mut self, node: usize, epoch: u64, command: Option<Command>) {
        let it = &mut self.nodes[node];
        if it.epoch != epoch {
            return;
        }
        let (now, started) = (self.now, it.started);
        let Some(engine) = it.engine.as_mut() else {
            return;
        };
        // Each process has a steady clock of its own.
        let begun = std::time::Instant::now();
        let effects = engine.step(now - started, now, command);
        self.spent += begun.elapsed();
        // Of a large fleet, not at each step.
        if self.workers.len() < 100 || self.order.is_multiple_of(200) {
            assert!(engine.slots_agree(), "a machine's room is out of date");
        }
        for effect in effects {
            self.effect(node, epoch, effect);
        }
    }

    fn effect(&mut self, node: usize, epoch: u64, effect: Effect) {
        match effect {
            Effect::Reply { to, reply } => {
                let Some((worker, seq)) = self.replies.remove(&to) else {
                    self.answers.insert(to, reply);
                    return;
                };
                if self.reaches(&worker, node) {
                    self.deliver(Ev::Receive(worker, seq, Some(reply)));
                }
            }
            Effect::Store { op, call, .. } => {
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
                        op,
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
                    0 => self.serve_store(node, epoch, op, &call),
                    delay => self.at(delay, Ev::Store(node, epoch, op, call)),
                }
            }
            Effect::Cloud { op, call } => {
                let slow = match call {
                    CloudCall::List { .. } => self.faults.slow_list,
                    _ => 0,
                };
                let slow = slow + self.link() - LATENCY;
                let result = self.cloud_call(call);
                let command = Command::CloudDone { op, result };
                self.at(CLOUD_LATENCY + slow, Ev::Command(node, epoch, command));
            }
            Effect::Orders { addr, orders } => {
                let name = format!("host-{:06}", addr.port());
                if self.connects(&name, node) {
                    self.deliver(Ev::Direct(name, orders));
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

    // The state service.

    fn serve_store(&mut self, node: usize, epoch: u64, op: u64, call: &StoreCall) {
        let refused = self.faults.store_down || self.faults.store_refuses.contains(&node);
        let records = |prefix: &str| prefix == records::WORK || prefix == records::ROUNDS;
        let unlisted = matches!(call, StoreCall::List { prefix, .. } if records(prefix));
        let refused = refused || (unlisted && self.faults.no_records);
        if let StoreCall::Commit(txn) = call {
            let fenced = txn.conditions.iter().any(|c| c.key == records::LEAD);
            assert!(fenced, "no condition on the leader's key: {txn:?}");
        }
        if let StoreCall::Commit(txn) = call
            && !refused
            && let Some(late) = self.lateness(txn)
        {
            self.store.commits += 1;
            self.at(late, Ev::Late(txn.clone()));
            let result = Err(StoreError::Unknown("no answer".into()));
            let patience = k::STORE_TIMEOUT.as_millis() as Ms;
            let command = Command::StoreDone { op, result };
            return self.at(patience, Ev::Command(node, epoch, command));
        }
        let result = if refused {
            Err(StoreError::Refused("503".into()))
        } else {
            self.store_call(call)
        };
        let command = Command::StoreDone { op, result };
        let slow = self.faults.slow_answers.get(&node).copied().unwrap_or(0);
        let delay = self.link() + slow;
        self.at(delay, Ev::Command(node, epoch, command));
        self.serve_watches();
    }

    /// By how much the transaction is late, if it gets no answer.
    fn lateness(&mut self, txn: &ws::Txn) -> Option<Ms> {
        let begins = |key: &str| {
            let written = txn.writes.iter().map(|write| match write {
                ws::Write::Put { put, .. } => put,
                ws::Write::Delete { delete } => delete,
            });
            written.into_iter().any(|k| k.starts_with(key))
        };
        if self.faults.late_write.is_some_and(begins) {
            self.faults.late_write = None;
            return Some(12_000);
        }
        let number = self.store.commits + 1;
        let late = 2_000 + number * 1_700 % 10_000;
        number
            .is_multiple_of(self.faults.late_every)
            .then_some(late)
    }

    fn store_call(&mut self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Get { key } => Ok(StoreReply::Got(self.store.keys.get(key).map(
                |(value, version, _)| ws::Item {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                },
            ))),
            StoreCall::List { prefix, after } => {
                let from = after.as_ref().unwrap_or(prefix);
                let mut keys = self
                    .store
                    .keys
                    .range(from.clone()..)
                    .take_while(|(k, _)| k.starts_with(prefix))
                    .filter(|(k, _)| after.as_ref() != Some(k));
                let items = keys
                    .by_ref()
                    .take(self.page)
                    .map(|(k, (value, version, _))| ws::Item {
                        key: k.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                let more = keys.next().is_some();
                Ok(StoreReply::Listed(ws::Listing {
                    items,
                    more,
                    revision: self.store.revision,
                }))
            }
            StoreCall::Commit(txn) => {
                self.store.commits += 1;
                let result = self.commit(txn);
                if self.store.commits.is_multiple_of(self.faults.lose_every) {
                    return Err(StoreError::Unknown("lost".into()));
                }
                result
            }
            StoreCall::Hold { ttl_ms } => {
                let lease = self.store.leases.len() as u64 + 1;
                self.store
                    .leases
                    .insert(lease, (*ttl_ms, self.now + ttl_ms));
                Ok(StoreReply::Held { lease })
            }
            StoreCall::Touch { lease } => {
                let now = self.now;
                match self
                    .store
                    .leases
                    .get_mut(lease)
                    .filter(|(_, until)| *until > now)
                {
                    Some((ttl, until)) => {
                        *until = now + *ttl;
                        Ok(StoreReply::Ok)
                    }
                    None => Err(StoreError::NoLease),
                }
            }
            StoreCall::Drop { lease } => {
                if let Some((_, until)) = self.store.leases.get_mut(lease) {
                    *until = 0;
                }
                self.expire();
                Ok(StoreReply::Ok)
            }
            StoreCall::Watch { .. } => unreachable!("kept apart"),
        }
    }

    fn commit(&mut self, txn: &ws::Txn) -> Result<StoreReply, StoreError> {
        let ops = self.txn_ops;
        assert!(
            txn.writes.len() <= ops && txn.conditions.len() <= 4 * ops,
            "over the limits: {txn:?}"
        );
        let now = self.now;
        let size = crate::wire::encode(txn).len();
        assert!(size < 64 * 1024, "a transaction of {size} bytes");
        for write in &txn.writes {
            if let ws::Write::Put { put, value, .. } = write {
                let size = records::json_size(value);
                assert!(size <= self.value_max, "{put} takes {size} bytes");
            }
            let over = |lease: &u64| {
                let lease = self.store.leases.get(lease);
                lease.is_none_or(|(_, until)| *until <= now)
            };
            if matches!(write, ws::Write::Put { lease: Some(lease), .. } if over(lease)) {
                return Err(StoreError::Bad("no such lease".into()));
            }
        }
        let version = |key: &str| self.store.keys.get(key).map_or(0, |(_, v, _)| *v);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(StoreError::Conflict(failed));
        }
        self.check_writes(txn);
        self.store.revision += 1;
        let revision = self.store.revision;
        for write in &txn.writes {
            match write {
                ws::Write::Put { put, value, lease } => {
                    self.store
                        .keys
                        .insert(put.clone(), (value.clone(), revision, *lease));
                    match lease {
                        Some(_) => self.store.leased.insert(put.clone()),
                        None => self.store.leased.remove(put),
                    };
                    let event = ws::Event::Put {
                        put: put.clone(),
                        value: value.clone(),
                        version: revision,
                    };
                    self.store.log.push((revision, event));
                }
                ws::Write::Delete { delete } => self.delete(delete, revision),
            }
        }
        self.serve_watches();
        Ok(StoreReply::Committed { revision })
    }

    /// A job is called done after its tasks are, and nothing else after that; no round is written
    /// with a job whose cancellation is durable.
    fn check_writes(&mut self, txn: &ws::Txn) {
        for write in &txn.writes {
            let ws::Write::Put { put, value, .. } = write else {
                continue;
            };
            let round = put.starts_with(records::ROUNDS);
            let round = round.then(|| records::read::<records::RoundRecord>(value.clone()));
            for (id, ..) in round.flatten().into_iter().flat_map(|round| round.starts) {
                if self.cancelled.contains_key(&id) {
                    let now = self.now;
                    self.broken
                        .push(format!("{now}: a round with cancelled {id}"));
                }
            }
            let Some(id) = put.strip_prefix("final/") else {
                continue;
            };
            let state = records::read_final(value.clone()).map(|f| f.state);
            let now = self.now;
            if self.state(id).is_some_and(|old| Some(old) != state) {
                self.broken
                    .push(format!("{now}: went_back {id} to {state:?}"));
            }
            let of = format!("{id}/");
            let ended = self.finished.iter().filter(|t| t.starts_with(&of)).count() as u64;
            let job = &self.jobs[id];
            let enough = match job.kind {
                Kind::Gang => 1,
                _ => job.tasks,
            };
            if state == Some(JobState::Done) && ended < enough {
                self.broken.push(format!("{now}: not_done {id}"));
            }
        }
    }

    fn delete(&mut self, key: &str, version: u64) {
        self.store.leased.remove(key);
        if self.store.keys.remove(key).is_some() {
            let event = ws::Event::Delete {
                delete: key.into(),
                version,
            };
            self.store.log.push((version, event));
        }
    }

    /// Ends leases, worker leases and outages' grace.
    fn expire(&mut self) {
        let now = self.now;
        if self.faults.store_down {
            // An outage gives all leases their full time again.
            for (ttl, until) in self
                .store
                .leases
                .values_mut()
                .filter(|(_, until)| *until > 0)
            {
                *until = now + *ttl;
            }
        }
        let ended = |key: &&String| {
            let lease = self.store.keys[*key].2.unwrap();
            let lease = self.store.leases.get(&lease);
            lease.is_none_or(|(_, until)| *until <= now)
        };
        let over: Vec<String> = self.store.leased.iter().filter(ended).cloned().collect();
        for key in over {
            self.store.revision += 1;
            self.delete(&key, self.store.revision);
        }
        self.serve_watches();
    }

    fn serve_watches(&mut self) {
        let down = self.faults.store_down;
        let (now, revision) = (self.now, self.store.revision);
        let mut rest = Vec::new();
        for w in std::mem::take(&mut self.store.watches) {
            let log = &self.store.log;
            let events: Vec<ws::Event> = log[log.partition_point(|(at, _)| *at <= w.after)..]
                .iter()
                .filter(|(_, event)| {
                    let (ws::Event::Put { put: key, .. } | ws::Event::Delete { delete: key, .. }) =
                        event;
                    key.starts_with(&w.prefix)
                })
                .map(|(_, event)| event.clone())
                .collect();
            let waits = down || self.faults.store_refuses.contains(&w.node);
            let result = if now >= w.until + k::WATCH_SLACK.as_millis() as Ms {
                // The caller has given up.
                Err(StoreError::Unknown("no answer".into()))
            } else if waits || (events.is_empty() && now < w.until) {
                rest.push(w);
                continue;
            } else {
                Ok(StoreReply::Changed(ws::Changes { revision, events }))
            };
            let command = Command::StoreDone { op: w.op, result };
            let slow = self.faults.slow_watch.get(&w.node).copied().unwrap_or(0);
            let delay = self.link() + slow;
            self.at(delay, Ev::Command(w.node, w.epoch, command));
        }
        self.store.watches = rest;
    }

    // The cloud.

    fn cloud_call(&mut self, call: CloudCall) -> Result<CloudReply, CloudError> {
        if self.faults.cloud_down {
            return Err(CloudError::Failed("trouble".into()));
        }
        match call {
            CloudCall::Types => Ok(CloudReply::Types(wc::MachineTypes {
                types: vec![wc::MachineType {
                    name: "g8".into(),
                    cpus: 16.0,
                    gpus: 4.0,
                    memory_gb: 64.0,
                    cache_gb: 100.0,
                    fetch_gb_per_s: 0.4,
                    price: 4.0,
                    spot_price: 1.0,
                    boot_s: 20.0,
                    zones: vec!["east".into(), "west".into()],
                }],
            })),
            CloudCall::Rent(rent) => {
                if let Some(names) = self.requests.get(&rent.request) {
                    return Ok(CloudReply::Rented(names.clone()));
                }
                let there = self.workers.values().filter(|w| w.zone == rent.zone);
                let left = match self.faults.capacity {
                    Some(most) => (most as u64).saturating_sub(there.count() as u64),
                    None => rent.count,
                };
                if left == 0 {
                    return Err(CloudError::NoCapacity);
                }
                let mut names = Vec::new();
                for _ in 0..rent.count.min(left) {
                    let name = format!("host-{:06}", self.rented);
                    self.rented += 1;
                    // Workers know all nodes and begin with any.
                    let any = self.rented as usize % self.nodes.len();
                    let node = self.first_node.unwrap_or(any);
                    self.workers
                        .insert(name.clone(), Worker::new(&rent.zone, node, self.now + BOOT));
                    self.send_in(&name, BOOT);
                    names.push(name);
                }
                self.requests.insert(rent.request, names.clone());
                Ok(CloudReply::Rented(names))
            }
            CloudCall::Return(names) => {
                for name in names {
                    self.workers.remove(&name);
                    self.returned.push(name);
                }
                Ok(CloudReply::Returned)
            }
            CloudCall::List { after } => {
                let now = self.now;
                self.listed_pages += 1;
                let mut after = after.unwrap_or_default();
                if self.faults.list == ListFault::Repeats {
                    after.clear();
                }
                let listed = |(id, w): (&String, &Worker)| wc::ListedMachine {
                    id: id.clone(),
                    machine_type: "g8".into(),
                    zone: w.zone.clone(),
                    spot: false,
                    state: wc::MachineState::Running,
                    age_s: (now + BOOT).saturating_sub(w.up_at) as f64 / 1000.0,
                };
                let mut rest = self.workers.iter().filter(|(id, _)| **id > after);
                let machines = rest.by_ref().take(k::MACHINE_PAGE as usize);
                let mut machines: Vec<wc::ListedMachine> = machines.map(listed).collect();
                let mut more = rest.next().is_some();
                match self.faults.list {
                    ListFault::None => {}
                    ListFault::Repeats => more = true,
                    ListFault::Endless => {
                        more = true;
                        machines.push(wc::ListedMachine {
                            id: format!("host-x{:06}", self.listed_pages),
                            machine_type: "g8".into(),
                            zone: "east".into(),
                            spot: false,
                            state: wc::MachineState::Booting,
                            age_s: 1.0,
                        });
                    }
                    ListFault::Doubled => machines.extend_from_within(..),
                }
                machines.sort_by(|a, b| a.id.cmp(&b.id));
                Ok(CloudReply::Listed(wc::MachineList { machines, more }))
            }
        }
    }

    // The workers.

    /// The worker's next report is due then; one that was due at another time is not sent.
    fn send_in(&mut self, name: &str, delay: Ms) {
        if let Some(w) = self.workers.get_mut(name) {
            w.due = self.now + delay;
            self.at(delay, Ev::Send(name.into()));
        }
    }

    fn send_report(&mut self, name: &str) {
        let (now, hung) = (self.now, self.faults.hung.contains(name));
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if hung || w.busy {
            return self.send_in(name, 500);
        }
        w.seq += 1;
        w.busy = true;
        w.sent = now;
        let report = Report {
            machine: name.into(),
            addr: format!("127.0.0.1:{}", name[5..].parse::<u16>().unwrap()),
            machine_type: "g8".into(),
            zone: w.zone.clone(),
            spot: false,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(task, t)| Task {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: None,
                })
                .collect(),
        };
        w.reports.push(report.clone());
        let (node, seq) = (w.node, w.seq);
        self.reports += 1;
        if self.reports.is_multiple_of(self.faults.copy_every) {
            let late = 2_000 + self.reports * 3_700 % 36_000;
            self.at(late, Ev::Copy(report.clone()));
        }
        let epoch = self.nodes[node].epoch;
        self.at(WORKER_TIMEOUT, Ev::Receive(name.into(), seq, None));
        if self.reaches(name, node) && self.nodes[node].engine.is_some() {
            self.order += 1;
            let reply = self.order;
            self.replies.insert(reply, (name.into(), seq));
            let command = Command::Report { report, reply };
            self.deliver(Ev::Command(node, epoch, command));
        }
    }

    fn receive(&mut self, name: &str, seq: u64, reply: Option<Reply>) {
        let (now, nodes) = (self.now, self.nodes.len());
        if reply.is_some() && (self.faults.hung.contains(name) || self.faults.deaf.contains(name)) {
            return;
        }
        // Its own patience counts on once it goes on.
        if self.faults.hung.contains(name) && self.workers.contains_key(name) {
            return self.at(500, Ev::Receive(name.into(), seq, None));
        }
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // An answer counts only for the report in flight.
        if !w.busy || w.seq < seq || (reply.is_none() && w.sent + WORKER_TIMEOUT > now) {
            return;
        }
        w.busy = false;
        let mut next = 3000;
        match reply {
            Some(Reply::Orders(orders)) => {
                if orders.token >= w.token {
                    let before = w.tasks.len();
                    if orders.token > w.token && w.rings(now) {
                        next = 500;
                    }
                    w.token = orders.token;
                    w.answered = w.sent;
                    self.execute(name, &orders.orders);
                    if self
                        .workers
                        .get(name)
                        .is_some_and(|w| w.tasks.len() != before)
                    {
                        next = 500;
                    }
                }
            }
            Some(Reply::Elsewhere(Some(to))) => {
                w.node = to[1..].parse().unwrap();
                next = 100;
            }
            _ => {
                w.node = (w.node + 1) % nodes;
                next = 1000;
            }
        }
        self.send_in(name, next);
    }

    fn execute(&mut self, name: &str, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.launch(name, task, *attempt),
                Order::Stop { task, attempt, .. } => {
                    let Some(w) = self.workers.get_mut(name) else {
                        return;
                    };
                    if let Some(t) = w.tasks.get_mut(task).filter(|t| t.attempt == *attempt) {
                        t.stop = true;
                        w.next = 0;
                    }
                }
                Order::Forget { task, attempt } => {
                    let Some(w) = self.workers.get_mut(name) else {
                        return;
                    };
                    let over =
                        |t: &OnMachine| t.attempt == *attempt && t.state == TaskState::Exited;
                    if w.tasks.get(task).is_some_and(over) {
                        w.tasks.remove(task);
                    }
                }
            }
        }
        self.work();
    }

    fn launch(&mut self, name: &str, task: &str, attempt: u64) {
        let now = self.now;
        let (id, _) = task.rsplit_once('/').unwrap();
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.tasks.get(task).is_some_and(|t| t.attempt == attempt) {
            return;
        }
        let fresh = OnMachine {
            attempt,
            since: now,
            state: TaskState::Fetching,
            why: None,
            stop: false,
        };
        w.tasks.insert(task.into(), fresh);
        self.starts += 1;
        self.begun.insert(id.into());
        w.next = 0;
        let places = self.places.entry(task.into()).or_default();
        places.insert(name.into());
        let workers = places.iter().filter_map(|name| self.workers.get(name));
        let on = |w: &&Worker| {
            let task = w.tasks.get(task);
            task.is_some_and(|t| t.state != TaskState::Exited)
        };
        if workers.filter(on).count() > 1 {
            self.broken.push(format!("{now}: ran_twice {task}"));
        }
        for awaited in &self.jobs[id].awaits {
            if !self.done(awaited) {
                self.broken
                    .push(format!("{now}: too_early {task} before {awaited}"));
            }
        }
        if let Some(at) = self.cancelled.get(id).filter(|at| now > **at + CANCEL) {
            self.broken
                .push(format!("{now}: ran_cancelled {task} since {at}"));
        }
        let live = |(task, t): (&String, &OnMachine)| {
            let job = &self.jobs[task.rsplit_once('/').unwrap().0];
            if t.state == TaskState::Exited {
                0.0
            } else {
                job.gpus
            }
        };
        if self.gpus_max < NO_LIMIT {
            let tasks = self.workers.values().flat_map(|w| &w.tasks);
            let used: f64 = tasks.map(live).sum();
            if used > self.gpus_max {
                self.broken.push(format!("{now}: quota {used}"));
            }
        }
        let here: f64 = self.workers[name].tasks.iter().map(live).sum();
        if here > 4.0 {
            self.broken.push(format!("{now}: {name} holds {here} GPUs"));
        }
    }

    /// Lets the workers' tasks go on.
    fn work(&mut self) {
        let now = self.now;
        let mut waking = self.cancelled.values().map(|at| at + CANCEL + 1);
        let late = waking.any(|at| at <= now);
        for (name, w) in &mut self.workers {
            if (now < w.next && !late) || self.faults.hung.contains(name) {
                continue;
            }
            w.next = w.answered.max(w.up_at) + WORKER_LEASE + 1;
            if now >= w.up_at && now.saturating_sub(w.answered.max(w.up_at)) > WORKER_LEASE {
                w.session += 1;
                w.answered = now;
                w.tasks.clear();
            }
            let sick = self.faults.sick.contains(name);
            for (task, t) in &mut w.tasks {
                let (id, _) = task.rsplit_once('/').unwrap();
                let job = &self.jobs[id];
                let fetched = w.images.contains(&job.image) || now >= t.since + FETCH;
                let longer = self.longer.get(task).copied().unwrap_or(0);
                let run = (job.estimate_s * 1000.0) as Ms + longer;
                let exit = |t: &mut OnMachine, why| {
                    t.state = TaskState::Exited;
                    t.why = Some(why);
                };
                if t.state == TaskState::Exited {
                    continue;
                } else if t.stop {
                    exit(t, Why::Stopped);
                } else if t.state == TaskState::Fetching && fetched {
                    w.images.insert(job.image.clone());
                    t.state = TaskState::Running;
                    t.since = now;
                    if sick || self.faults.faulty.contains(id) {
                        exit(t, Why::Error);
                    }
                } else if t.state == TaskState::Running && run > 0 && now >= t.since + run {
                    exit(t, Why::Done);
                    self.finished.insert(task.clone());
                }
                match t.state {
                    TaskState::Fetching => w.next = w.next.min(t.since + FETCH),
                    TaskState::Running if run > 0 => w.next = w.next.min(t.since + run),
                    _ => {}
                }
            }
            for (task, t) in &w.tasks {
                let (id, _) = task.rsplit_once('/').unwrap();
                let late = self.cancelled.get(id).is_some_and(|at| now > at + CANCEL);
                if late && t.state != TaskState::Exited {
                    self.broken.push(format!("{now}: ran_cancelled {task}"));
                }
            }
        }
    }
}

impl Worker {
    /// Whether a higher token makes it report now: once in half a lease.
    fn rings(&mut self, now: Ms) -> bool {
        let rings = self.rung.is_none_or(|at| now >= at + WORKER_LEASE / 2);
        if rings {
            self.rung = Some(now);
        }
        rings
    }

    fn new(zone: &str, node: usize, up_at: Ms) -> Worker {
        Worker {
            zone: zone.into(),
            node,
            up_at,
            session: 1,
            seq: 0,
            token: 0,
            sent: 0,
            due: 0,
            rung: None,
            answered: up_at,
            busy: false,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            next: 0,
            reports: Vec::new(),
        }
    }
}
