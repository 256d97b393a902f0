//! Workers' reports: checked against the model, and answered with orders.
//!
//! Starts travel only in answers to reports. A worker drops an answer that comes late, so a
//! start is either done before the worker's next report or never: a newer report that does not
//! name it proves that the task is not there. Stops are sent directly as well; a late one
//! cannot harm, since it names the attempt.

use super::{Effect, Engine, Reply, ReplyId, Role};
use crate::constants as k;
use crate::model::{
    JobId, Machine, MachineId, MachinePhase, Ms, Phase, SeqNo, Stage, TaskId, Token,
};
use crate::wire::user::Kind;
use crate::wire::worker::{DirectOrders, Order, Orders, Report, Task, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet};

/// A report that has been worked through and waits for its answer.
#[derive(Debug)]
pub(super) struct Held {
    to: ReplyId,
    machine: MachineId,
    seq_no: SeqNo,
    orders: Vec<Order>,
    since: Ms,
}

/// What a node has done with a worker of a leader that it can't hear.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SentOn {
    /// When it was last sent to the leader.
    sent: Ms,
    /// Until when it is answered in the leader's place.
    until: Ms,
}

impl SentOn {
    /// Whether it is to be remembered: for a worker's lease after either.
    fn counts(&self, now: Ms, lease: Ms) -> bool {
        now < self.sent.max(self.until) + lease
    }
}

impl Engine {
    pub(super) fn on_report(&mut self, report: Report, to: ReplyId) {
        let Some(leader) = self.leader() else {
            let answer = self.answer_as_follower(&report);
            return self.reply(to, answer);
        };
        let seen = Token(report.token);
        if seen.term() > leader.term {
            // The worker has seen a later leader.
            self.term_heard = self.term_heard.max(seen.term());
            self.step_down("a worker has seen a higher term");
            return self.reply(to, Reply::Elsewhere(None));
        }
        if !self.may_answer() {
            return self.reply(to, Reply::Unavailable);
        }
        let confirmed = seen.term() == leader.term;
        let machine = MachineId::from(&*report.machine);
        let token = leader.token_for(&machine, seen);
        let loaded = leader.loading.is_none();
        let mut orders = Vec::new();
        // Before the records are read, or until the worker confirms the token, its lease is
        // renewed and it is told of cancellations, nothing else: an older token's starts may still
        // be on their way.
        if loaded && self.note_machine(&report, confirmed) && confirmed {
            self.reconcile(&report, &mut orders);
            let held = Held {
                to,
                machine,
                seq_no: SeqNo {
                    session: report.session,
                    seq: report.seq,
                },
                orders,
                since: self.now,
            };
            self.held.push(held);
        } else {
            let answer = Reply::Orders(Orders {
                token: token.0,
                orders: self.stops_of_cancelled(&report),
            });
            self.reply(to, answer);
        }
    }

    /// Stops of the report's tasks whose jobs are cancelled. They go with every answer that renews
    /// a lease: leaders that end one after the other before they have read the records, when the
    /// state service is slow, would else keep alive for ever what nobody stops.
    fn stops_of_cancelled(&self, report: &Report) -> Vec<Order> {
        let cancelled = |task: &&Task| {
            let id = TaskId::parse(&task.task);
            let job = id.and_then(|id| self.jobs.get(&id.job));
            task.state != TaskState::Exited && job.is_some_and(|j| j.phase == Phase::Cancelled)
        };
        let stop = |task: &Task| Order::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0,
        };
        report.tasks.iter().filter(cancelled).map(stop).collect()
    }

    /// Answers reports at the end of the step that they came in, so that what the step decided
    /// goes with the answer. While a round is about to be planned, or is being written with starts
    /// for the machine, the answer waits for it (some ms): else the starts would wait for the
    /// machine's next report, seconds later. (Each new machine of a day's start lost one report's
    /// interval so: it came up while another round was being written.)
    pub(super) fn answer_held(&mut self) {
        for mut held in std::mem::take(&mut self.held) {
            let Some(leader) = self.leader() else {
                self.reply(held.to, Reply::Unavailable);
                continue;
            };
            let token = leader.token_for(&held.machine, Token::default()).0;
            let young = self.now < held.since + k::HOLD_REPORT_MS;
            if young && (self.is_placing() || self.is_planned_on(&held.machine)) {
                self.held.push(held);
                continue;
            }
            self.order_starts_and_stops(&held.machine, held.seq_no, &mut held.orders);
            self.reply(
                held.to,
                Reply::Orders(Orders {
                    token,
                    orders: held.orders,
                }),
            );
        }
    }

    /// Whether the round that is being written has a start on the machine.
    fn is_planned_on(&self, machine: &MachineId) -> bool {
        let Some(machine) = self.leader().and_then(|l| l.machines.get(machine)) else {
            return false;
        };
        machine.tasks.iter().any(|task| {
            let placement = self
                .jobs
                .get(&task.job)
                .and_then(|j| j.live.get(&task.index));
            placement.is_some_and(|p| p.stage == Stage::Planned)
        })
    }

    fn answer_as_follower(&mut self, report: &Report) -> Reply {
        let seen = Token(report.token);
        let term = self
            .deputy_for()
            .map(|h| h.term)
            .filter(|term| seen.term() <= *term);
        if let Some(term) = term
            && self.stands_in(&report.machine, seen.term() == term)
        {
            return Reply::Orders(Orders {
                token: seen.max(Token::first(term)).0,
                orders: self.stops_of_cancelled(report),
            });
        }
        match &self.holder {
            Some(h) if h.node != self.settings.node => Reply::Elsewhere(Some(h.node.clone())),
            _ => Reply::Unavailable,
        }
    }

    /// Whether to answer this worker in the place of a leader that can't be heard here, or to
    /// send it to that leader once more. That we don't hear the leader does not mean that the
    /// worker can't: connections between nodes may be refused while all else works. (A node that
    /// answered whoever came kept new machines from their leader, which took them for dead.) A
    /// worker that knows the term has lost its leader; any other is sent there first, and
    /// answered when it comes back; and all are sent there again after half a lease.
    fn stands_in(&mut self, machine: &str, knows_term: bool) -> bool {
        let (now, lease) = (self.now, self.timing.worker_lease);
        // Not at each report: there may be thousands of both.
        if now >= self.sent_on_at {
            self.sent_on_at = now + k::HOUSEKEEPING_EVERY_MS;
            self.sent_on.retain(|_, s| s.counts(now, lease));
        }
        let id = MachineId::from(machine);
        let known = self.sent_on.get(&id).copied();
        let known = known.filter(|s| s.counts(now, lease));
        if known.is_some_and(|s| now < s.until) {
            return true;
        }
        // Sent on, and back before its lease could have ended; or never sent on by this node.
        let back = known.map_or(knows_term, |s| s.sent > s.until);
        if self.sent_on.len() >= k::SENT_ON_MOST && known.is_none() {
            return back;
        }
        let mut sent_on = known.unwrap_or_default();
        if back {
            sent_on.until = now + lease / 2;
        } else {
            sent_on.sent = now;
        }
        self.sent_on.insert(id, sent_on);
        back
    }

    /// Takes note of the machine itself; false if the report is out of date or of a machine
    /// that is gone.
    fn note_machine(&mut self, report: &Report, confirmed: bool) -> bool {
        let (now, on_time) = (self.now, self.timing.on_time);
        let seq_no = SeqNo {
            session: report.session,
            seq: report.seq,
        };
        let Some(leader) = self.leader_mut() else {
            return false;
        };
        let id = MachineId::from(&*report.machine);
        if leader.gone.get(&id).is_some() {
            return false;
        }
        let seen = leader.token_for(&id, Token(report.token));
        let machine = leader.machines.get_or_insert_with(id, |id| {
            tracing::info!(machine = %id, "unexpected machine reports");
            Machine::new(id, "".into(), "".into(), report.spot, now)
        });
        if seq_no <= machine.seq_no {
            return false;
        }
        machine.token = seen;
        machine.note_report(seq_no, confirmed, now, on_time);
        if &*machine.machine_type != report.machine_type.as_str() {
            machine.machine_type = report.machine_type.as_str().into();
        }
        if &*machine.zone != report.zone.as_str() {
            machine.zone = report.zone.as_str().into();
        }
        machine.spot = report.spot;
        machine.addr = report.addr.parse().ok();
        if let Some(notice) = report.notice_s.filter(|n| n.is_finite()) {
            if machine.taken_at.is_none() {
                tracing::info!(machine = report.machine, notice, "machine will be taken");
                leader.dirty = true;
            }
            machine.taken_at = Some(now + (notice.max(0.0) * 1000.0) as u64);
        }
        if confirmed && machine.phase == MachinePhase::Booting {
            machine.phase = MachinePhase::Up;
            machine.idle_since = now;
            leader.dirty = true;
        }
        true
    }

    /// Compares a confirmed, newest report with the model, and collects orders.
    fn reconcile(&mut self, report: &Report, orders: &mut Vec<Order>) {
        let id = MachineId::from(&*report.machine);
        let seq_no = SeqNo {
            session: report.session,
            seq: report.seq,
        };
        let mut named = BTreeSet::new();
        let mut strays = BTreeSet::new();
        for task in &report.tasks {
            let Some(task_id) = TaskId::parse(&task.task) else {
                tracing::debug!(task = task.task, "report names no task");
                continue;
            };
            named.insert((task_id.clone(), task.attempt));
            if task.state == TaskState::Exited {
                self.on_exited(&id, &task_id, task);
                if self.end_is_durable(&task_id, task) {
                    orders.push(Order::Forget {
                        task: task.task.clone(),
                        attempt: task.attempt,
                    });
                }
            } else if !self.on_present(&id, &task_id, task) {
                orders.push(Order::Stop {
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: 0,
                });
                strays.insert((task_id, task.attempt));
            }
        }
        self.on_absent(&id, seq_no, &named);
        let now = self.now;
        if let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(&id)) {
            for (task, _) in strays.difference(&machine.strays) {
                tracing::info!(machine = %id, %task, "stray task is stopped");
            }
            machine.strays = strays;
            if !machine.tasks.is_empty() {
                machine.idle_since = now;
            }
        }
    }

    /// A task on its machine; false if it has no business there.
    fn on_present(&mut self, machine: &MachineId, id: &TaskId, task: &Task) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let Some(placement) = job.live.get_mut(&id.index) else {
            return false;
        };
        if placement.machine != *machine || placement.attempt != task.attempt {
            return false;
        }
        let first = !matches!(placement.stage, Stage::Up(_));
        let ran = matches!(placement.stage, Stage::Up(TaskState::Running));
        placement.stage = Stage::Up(task.state);
        if first {
            placement.since = now;
            if let Some(leader) = self.leader_mut() {
                leader.dirty = true;
            }
        }
        if task.state == TaskState::Running && !ran {
            tracing::debug!(task = %id, %machine, "task runs");
            self.note_image(machine, &id.job);
        }
        true
    }

    fn note_image(&mut self, machine: &MachineId, job: &JobId) {
        let Some(spec) = self
            .jobs
            .get(job)
            .map(|j| (j.spec.image.clone(), j.spec.image_gb))
        else {
            return;
        };
        let types = self.types.clone();
        if let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(machine)) {
            let cache = types
                .and_then(|t| t.get(&machine.machine_type).map(|t| t.cache_gb))
                .unwrap_or(0.0);
            machine.use_image(&spec.0, spec.1, cache);
        }
    }

    /// A task has left its machine and says why.
    fn on_exited(&mut self, machine: &MachineId, id: &TaskId, task: &Task) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let ours = job
            .live
            .get(&id.index)
            .is_some_and(|p| p.machine == *machine && p.attempt == task.attempt);
        if ours {
            self.take_off(id);
        } else if task.why != Some(Why::Done) || job.spec.kind != Kind::Array {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        match task.why {
            Some(Why::Done) => {
                job.failures = 0;
                // A second attempt of a task that is done has nothing left to do.
                if let Some(other) = job.live.get_mut(&id.index) {
                    other.order_stop(0, now);
                }
                let over = job.complete(id.index);
                let failed_on = std::mem::take(&mut job.failed_on);
                if job.is_gang() && !job.live.is_empty() {
                    // They complete together; what does not is stopped.
                    job.stop_all(0, now);
                }
                self.attribute_failures(machine, failed_on);
                if over {
                    tracing::debug!(job = %id.job, "all tasks done");
                }
                if let Some(leader) = self.leader_mut() {
                    leader.ends.note(&id.job, over);
                }
            }
            Some(Why::Error) if ours => self.on_failure(machine, &id.job),
            Some(Why::Unknown) if ours => {
                self.slow_down(&id.job);
                tracing::info!(task = %id, "the worker does not know the job");
            }
            Some(Why::NoRoom | Why::Busy) if ours => {
                tracing::info!(task = %id, %machine, why = ?task.why, "start refused");
            }
            _ => {}
        }
        self.undo_gang(&id.job);
        self.settle_job(&id.job);
    }

    /// Failures: the machine's fault or the job's? A job that succeeds elsewhere clears itself
    /// and convicts the machine; a machine that several jobs fail on convicts itself.
    fn on_failure(&mut self, machine: &MachineId, job: &JobId) {
        self.slow_down(job);
        if let Some(job) = self.jobs.get_mut(job) {
            job.failed_on.insert(machine.clone());
        }
        tracing::info!(%machine, %job, "task failed");
        let job = job.clone();
        if let Some(m) = self.leader_mut().and_then(|l| l.machines.get_mut(machine)) {
            m.failed_jobs.insert(job);
            if m.failed_jobs.len() >= k::QUARANTINE_AFTER_JOBS {
                quarantine(m);
            }
        }
    }

    /// A job has completed a task on `good`: machines on which it failed are at fault.
    fn attribute_failures(&mut self, good: &MachineId, failed_on: BTreeSet<MachineId>) {
        let Some(leader) = self.leader_mut() else {
            return;
        };
        if let Some(m) = leader.machines.get_mut(good) {
            m.failed_jobs.clear();
        }
        for id in failed_on {
            if let Some(m) = leader.machines.get_mut(&id).filter(|_| id != *good) {
                quarantine(m);
            }
        }
    }

    fn slow_down(&mut self, job: &JobId) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(job) {
            job.failures += 1;
            let pause = k::FAILED_FIRST_MS << (job.failures - 1).min(16);
            job.not_before = now + pause.min(k::FAILED_MOST_MS);
        }
    }

    /// Whether a task's end may be forgotten by the worker. Only a completion has to be on
    /// record first: any other end just makes the task wait again, which is also what a new
    /// leader concludes when the machine no longer names it.
    fn end_is_durable(&self, id: &TaskId, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        if task.why != Some(Why::Done) {
            return true;
        }
        match job.phase {
            Phase::Open => !job.done.contains(id.index) || job.written.contains(id.index),
            Phase::Done { written } => written,
            Phase::Cancelled => true,
        }
    }

    /// Tasks placed on the machine that its newest report does not name.
    fn on_absent(&mut self, id: &MachineId, seq_no: SeqNo, named: &BTreeSet<(TaskId, u64)>) {
        let Some(machine) = self.leader().and_then(|l| l.machines.get(id)) else {
            return;
        };
        let missing: Vec<TaskId> = machine
            .tasks
            .iter()
            .filter(|task| {
                let placement = self
                    .jobs
                    .get(&task.job)
                    .and_then(|j| j.live.get(&task.index));
                placement.is_some_and(|p| !named.contains(&((*task).clone(), p.attempt)))
            })
            .cloned()
            .collect();
        for task in missing {
            let Some(placement) = self
                .jobs
                .get(&task.job)
                .and_then(|j| j.live.get(&task.index))
            else {
                continue;
            };
            let gone = match placement.stage {
                Stage::Planned | Stage::Starting { sent: None, .. } => {
                    placement.stop.is_some() && placement.stage != Stage::Planned
                }
                Stage::Starting {
                    sent: Some(sent),
                    resends,
                } => {
                    // Not there although the start was sent: lost on the way. It is sent again
                    // unless that was tried often enough.
                    sent < seq_no && (resends >= k::START_RESENDS || placement.stop.is_some())
                }
                Stage::Up(_) => true,
            };
            if gone {
                tracing::debug!(%task, machine = %id, "task is no longer on its machine");
                self.lose(&task);
            }
        }
    }

    /// Takes a task off its machine for good; without an end on record it waits again. The
    /// rest of a gang is stopped with it: the undo of its round.
    pub(super) fn lose(&mut self, id: &TaskId) {
        self.take_off(id);
        self.undo_gang(&id.job);
        self.settle_job(&id.job);
    }

    /// One task of a gang gone, all go: the others are told at once, whatever they have noticed
    /// themselves, with the grace to save.
    fn undo_gang(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_gang() && job.is_open() && job.live.values().any(|p| p.stop.is_none()) {
            tracing::info!(job = %id, "gang lost a task, its round is undone");
            job.stop_all(job.spec.grace_s(), now);
            self.send_stops(id);
        }
    }

    pub(super) fn take_off(&mut self, id: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(placement) = job.take_off(id.index) else {
            return;
        };
        if let Some(leader) = self.leader_mut() {
            leader.dirty = true;
            if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                machine.tasks.remove(id);
                machine.idle_since = now;
            }
        }
    }

    /// Starts and stops that this machine has to be told.
    fn order_starts_and_stops(&mut self, id: &MachineId, seq_no: SeqNo, orders: &mut Vec<Order>) {
        let confident = self.confident();
        let Some(machine) = self.leader().and_then(|l| l.machines.get(id)) else {
            return;
        };
        let starts = confident && machine.phase == MachinePhase::Up && machine.heard;
        let tasks: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let open = job.is_open();
            let Some(placement) = job.live.get_mut(&task.index) else {
                continue;
            };
            let (text, attempt) = (task.to_string(), placement.attempt);
            if let Some(stop) = placement.stop {
                orders.push(Order::Stop {
                    task: text,
                    attempt,
                    grace_s: stop.grace_s,
                });
            } else if let Stage::Starting { sent, resends } = placement.stage
                && open
                && starts
                && resends < u32::MAX
            {
                let resends = if sent.is_some() { resends + 1 } else { 0 };
                placement.stage = Stage::Starting {
                    sent: Some(seq_no),
                    resends,
                };
                tracing::debug!(%task, machine = %id, resends, "start sent");
                orders.push(Order::Start {
                    task: text,
                    attempt,
                });
            }
        }
    }

    /// Sends a job's stops directly, without waiting for the machines' reports.
    pub(super) fn send_stops(&mut self, id: &JobId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let mut stops: BTreeMap<&MachineId, Vec<Order>> = BTreeMap::new();
        for (index, placement) in &job.live {
            let Some(stop) = placement.stop else { continue };
            let order = Order::Stop {
                task: TaskId {
                    job: id.clone(),
                    index: *index,
                }
                .to_string(),
                attempt: placement.attempt,
                grace_s: stop.grace_s,
            };
            stops.entry(&placement.machine).or_default().push(order);
        }
        for (machine, orders) in stops {
            if let Some(machine) = leader.machines.get_mut(machine) {
                self.out.extend(order_directly(machine, orders));
            }
        }
    }

    /// Has a machine report at once, so that what was written for it does not wait for its next
    /// report: a worker that sees a higher token reports, though not more often than twice a lease.
    /// The order carries nothing else, so it is safe however late or often it arrives, which a
    /// start sent directly would not be.
    pub(super) fn ring(&mut self, id: &MachineId) {
        let (now, every) = (self.now, self.timing.worker_lease / 2);
        if self.held.iter().any(|held| held.machine == *id) {
            return;
        }
        let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(id)) else {
            return;
        };
        if machine.rung.is_some_and(|at| now < at + every) {
            return;
        }
        machine.rung = Some(now);
        machine.token = machine.token.next();
        let effect = order_directly(machine, Vec::new());
        self.out.extend(effect);
    }

    /// Removes a finished job from memory once nothing of it is left, and has its end written.
    pub(super) fn settle_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (phase, empty) = (job.phase, job.live.is_empty());
        match phase {
            Phase::Done { written: true } if empty => {
                self.jobs.remove(id);
            }
            Phase::Done { written: false } => {
                if let Some(leader) = self.leader_mut() {
                    leader.ends.note(id, true);
                }
            }
            Phase::Cancelled if empty => {
                if let Some(leader) = self.leader_mut().filter(|l| l.loading.is_none()) {
                    leader.ends.note(id, true);
                }
            }
            _ => {}
        }
    }
}

/// Orders for a machine to be sent to it directly, if its address is known.
fn order_directly(machine: &mut Machine, orders: Vec<Order>) -> Option<Effect> {
    let addr = machine.addr?;
    machine.direct += 1;
    let orders = DirectOrders {
        token: machine.token.0,
        session: machine.seq_no.session,
        orders,
    };
    Some(Effect::Orders { addr, orders })
}

fn quarantine(machine: &mut Machine) {
    if !machine.quarantined {
        tracing::info!(machine = %machine.id, "machine quarantined: tasks fail on it");
        machine.quarantined = true;
    }
}
