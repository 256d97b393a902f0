//! The simulated workers, and the rules that are seen broken on them.

use super::*;

#[derive(Clone)]
pub struct OnMachine {
    pub attempt: u64,
    pub since: Ms,
    pub state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) stop: bool,
    /// Whether progress was saved at the end.
    pub(super) checkpoint_saved: Option<bool>,
}

pub struct Worker {
    pub(super) zone: String,
    pub node: usize,
    pub(super) up_at: Ms,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) sent: Ms,
    /// When its next report is due.
    pub(super) due: Ms,
    /// When a higher token last made it report.
    pub(super) rung: Option<Ms>,
    pub(super) answered: Ms,
    pub(super) busy: bool,
    pub tasks: BTreeMap<String, OnMachine>,
    pub(super) images: BTreeSet<String>,
    /// Nothing changes on it by itself before.
    pub(super) next: Ms,
    /// Reports as sent, for late copies.
    pub(super) heartbeats: Vec<Heartbeat>,
}

impl World {
    /// The worker's next report is due then; one that was due at another time is not sent.
    pub(super) fn send_in(&mut self, name: &str, delay: Ms) {
        if let Some(w) = self.workers.get_mut(name) {
            w.due = self.now + delay;
            self.at(delay, Ev::Send(name.into()));
        }
    }

    pub(super) fn send_heartbeat(&mut self, name: &str) {
        let (now, hung) = (self.now, self.faults.hung.contains(name));
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if hung || w.busy {
            return self.send_in(name, 500);
        }
        w.sequence += 1;
        w.busy = true;
        w.sent = now;
        let heartbeat = Heartbeat {
            machine: name.into(),
            address: format!("127.0.0.1:{}", name[5..].parse::<u16>().unwrap()),
            machine_type: "g8".into(),
            zone: w.zone.clone(),
            spot: false,
            incarnation: w.incarnation,
            sequence: w.sequence,
            fencing_token: w.fencing_token,
            preemption_notice_s: self.faults.notices.get(name).copied(),
            tasks: w
                .tasks
                .iter()
                .map(|(task, t)| Task {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    exit_reason: t.exit_reason,
                    checkpoint_saved: t.checkpoint_saved,
                })
                .collect(),
        };
        w.heartbeats.push(heartbeat.clone());
        let (node, sequence) = (w.node, w.sequence);
        self.heartbeats += 1;
        if self.heartbeats.is_multiple_of(self.faults.copy_every) {
            let late = 2_000 + self.heartbeats * 3_700 % 36_000;
            self.at(late, Ev::Copy(heartbeat.clone()));
        }
        let epoch = self.nodes[node].epoch;
        self.at(WORKER_TIMEOUT, Ev::Receive(name.into(), sequence, None));
        if self.reaches(name, node) && self.nodes[node].engine.is_some() {
            self.order += 1;
            let reply = self.order;
            self.replies.insert(reply, (name.into(), sequence));
            let command = Command::Heartbeat { heartbeat, reply };
            self.deliver(Ev::Command(node, epoch, command));
        }
    }

    pub(super) fn receive(&mut self, name: &str, sequence: u64, reply: Option<Reply>) {
        let (now, nodes) = (self.now, self.nodes.len());
        if reply.is_some() && (self.faults.hung.contains(name) || self.faults.deaf.contains(name)) {
            return;
        }
        // Its own patience counts on once it goes on.
        if self.faults.hung.contains(name) && self.workers.contains_key(name) {
            return self.at(500, Ev::Receive(name.into(), sequence, None));
        }
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // An answer counts only for the report in flight.
        if !w.busy || w.sequence < sequence || (reply.is_none() && w.sent + WORKER_TIMEOUT > now) {
            return;
        }
        w.busy = false;
        let mut next = 3000;
        match reply {
            Some(Reply::HeartbeatAccepted(commands)) => {
                if commands.fencing_token >= w.fencing_token {
                    let before = w.tasks.len();
                    if commands.fencing_token > w.fencing_token && w.rings(now) {
                        next = 500;
                    }
                    w.fencing_token = commands.fencing_token;
                    w.answered = w.sent;
                    self.execute(name, &commands.commands);
                    if self
                        .workers
                        .get(name)
                        .is_some_and(|w| w.tasks.len() != before)
                    {
                        next = 500;
                    }
                }
            }
            Some(Reply::RedirectToLeader(Some(to))) => {
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

    pub(super) fn execute(&mut self, name: &str, commands: &[WorkerCommand]) {
        for order in commands {
            match order {
                WorkerCommand::Start { task, attempt } => self.launch(name, task, *attempt),
                WorkerCommand::Stop { task, attempt, .. } => {
                    let Some(w) = self.workers.get_mut(name) else {
                        return;
                    };
                    if let Some(t) = w.tasks.get_mut(task).filter(|t| t.attempt == *attempt) {
                        t.stop = true;
                        w.next = 0;
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
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

    pub(super) fn launch(&mut self, name: &str, task: &str, attempt: u64) {
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
            exit_reason: None,
            stop: false,
            checkpoint_saved: None,
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
        for awaited in &self.jobs[id].depends_on {
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
    pub(super) fn work(&mut self) {
        let now = self.now;
        let mut waking = self.cancelled.values().map(|at| at + CANCEL + 1);
        let late = waking.any(|at| at <= now);
        for (name, w) in &mut self.workers {
            if (now < w.next && !late) || self.faults.hung.contains(name) {
                continue;
            }
            w.next = w.answered.max(w.up_at) + WORKER_LEASE + 1;
            if now >= w.up_at && now.saturating_sub(w.answered.max(w.up_at)) > WORKER_LEASE {
                w.incarnation += 1;
                w.answered = now;
                w.tasks.clear();
            }
            let sick = self.faults.sick.contains(name);
            let (saves, gathers) = (self.faults.saves, self.faults.gathers);
            for (task, t) in &mut w.tasks {
                let (id, _) = task.rsplit_once('/').unwrap();
                let job = &self.jobs[id];
                let fetched = w.images.contains(&job.image) || now >= t.since + FETCH;
                let longer = self.longer.get(task).copied().unwrap_or(0);
                let run = (job.expected_duration_s * 1000.0) as Ms + longer;
                let save = (job.checkpoint_cost_s * 1000.0) as Ms;
                let exit = |t: &mut OnMachine, why| {
                    t.state = TaskState::Exited;
                    t.exit_reason = Some(why);
                };
                if t.state == TaskState::Exited {
                    continue;
                } else if t.stop && saves && t.state == TaskState::Running {
                    t.state = TaskState::Checkpointing;
                    t.since = now;
                } else if t.stop && t.state == TaskState::Checkpointing {
                    if now >= t.since + save {
                        exit(t, ExitReason::Stopped);
                        t.checkpoint_saved = Some(true);
                    }
                } else if t.stop {
                    exit(t, ExitReason::Stopped);
                } else if t.state == TaskState::WaitingForGang {
                    if now >= t.since + gathers {
                        t.state = TaskState::Running;
                        t.since = now;
                    }
                } else if t.state == TaskState::Fetching && fetched {
                    w.images.insert(job.image.clone());
                    t.state = TaskState::Running;
                    t.since = now;
                    if sick || self.faults.faulty.contains(id) {
                        exit(t, ExitReason::Failed);
                    } else if let Some(why) = self.faults.exits.get(id) {
                        exit(t, *why);
                    } else if job.kind == JobKind::Gang && gathers > 0 {
                        t.state = TaskState::WaitingForGang;
                    }
                } else if t.state == TaskState::Running && run > 0 && now >= t.since + run {
                    exit(t, ExitReason::Completed);
                    self.finished.insert(task.clone());
                }
                match t.state {
                    TaskState::Fetching => w.next = w.next.min(t.since + FETCH),
                    TaskState::WaitingForGang => w.next = w.next.min(t.since + gathers),
                    TaskState::Checkpointing => w.next = w.next.min(t.since + save),
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
    pub(super) fn rings(&mut self, now: Ms) -> bool {
        let rings = self.rung.is_none_or(|at| now >= at + WORKER_LEASE / 2);
        if rings {
            self.rung = Some(now);
        }
        rings
    }

    pub(super) fn new(zone: &str, node: usize, up_at: Ms) -> Worker {
        Worker {
            zone: zone.into(),
            node,
            up_at,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            sent: 0,
            due: 0,
            rung: None,
            answered: up_at,
            busy: false,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            next: 0,
            heartbeats: Vec::new(),
        }
    }
}
