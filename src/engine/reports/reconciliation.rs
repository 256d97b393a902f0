//! Reconciliation: a confirmed report is compared with the model of its machine and tasks.
//!
//! A task that the report names and the model does not is orphaned and stopped; a task that the
//! model places there and the report does not name is taken off, once it is proven to be gone.

use super::{seq_no_of, stop_at_once};
use crate::constants as k;
use crate::engine::Engine;
use crate::model::{
    JobId, Machine, MachineId, MachinePhase, Ms, Phase, SeqNo, Stage, TaskId, Token,
};
use crate::wire::user::Kind;
use crate::wire::worker::{Order, Report, Task, TaskState, Why};
use std::collections::BTreeSet;

impl Engine {
    /// Takes note of the machine itself; false if the report is out of date or of a machine
    /// that is gone.
    pub(super) fn note_machine(&mut self, report: &Report, confirmed: bool) -> bool {
        let (now, on_time) = (self.now, self.timing.on_time);
        let seq_no = seq_no_of(report);
        let Some(leader) = self.leader_mut() else {
            return false;
        };
        let id = MachineId::from(&*report.machine);
        if leader.gone.get(&id).is_some() {
            return false;
        }
        let token = leader.token_for(&id, Token(report.token));
        leader.machines.insert_if_absent(&id, |id| {
            tracing::info!(machine = %id, "unexpected machine reports");
            Machine::new(id, "".into(), "".into(), report.spot, now)
        });
        let noted = leader.machines.update(&id, |machine| {
            if seq_no <= machine.seq_no {
                return None;
            }
            machine.token = token;
            machine.note_report(seq_no, confirmed, now, on_time);
            note_description(machine, report);
            let mut news = note_reclaim_notice(machine, report, now);
            if confirmed && machine.phase == MachinePhase::Booting {
                machine.phase = MachinePhase::Up;
                machine.idle_since = now;
                news = true;
            }
            Some(news)
        });
        let Some(news) = noted.flatten() else {
            return false;
        };
        leader.dirty |= news;
        true
    }

    /// Compares a confirmed, newest report with the model; the orders that follow from it.
    pub(super) fn reconcile(&mut self, report: &Report) -> Vec<Order> {
        let machine = MachineId::from(&*report.machine);
        let mut orders = Vec::new();
        let mut reported = BTreeSet::new();
        let mut orphaned = BTreeSet::new();
        let mut present = 0;
        for task in &report.tasks {
            let Some(id) = TaskId::parse(&task.task) else {
                tracing::debug!(task = task.task, "report names no task");
                continue;
            };
            let first = reported.insert((id.clone(), task.attempt));
            if task.state == TaskState::Exited {
                self.on_exited(&machine, &id, task);
                if self.end_is_durable(&id, task) {
                    orders.push(Order::Forget {
                        task: task.task.clone(),
                        attempt: task.attempt,
                    });
                }
            } else if self.on_present(&machine, &id, task) {
                present += usize::from(first);
            } else {
                orders.push(stop_at_once(task));
                orphaned.insert((id, task.attempt));
            }
        }
        // Mostly the machine has exactly what is placed on it.
        let placed = self.leader().and_then(|l| l.machines.get(&machine));
        if placed.is_some_and(|placed| placed.tasks.len() != present) {
            self.remove_absent_tasks(&machine, seq_no_of(report), &reported);
        }
        self.note_orphaned_tasks(&machine, orphaned);
        orders
    }

    fn note_orphaned_tasks(&mut self, id: &MachineId, orphaned: BTreeSet<(TaskId, u64)>) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        leader.machines.update(id, |machine| {
            for (task, _) in orphaned.difference(&machine.orphaned_tasks) {
                tracing::info!(machine = %id, %task, "orphaned task is stopped");
            }
            machine.orphaned_tasks = orphaned;
            if !machine.tasks.is_empty() {
                machine.idle_since = now;
            }
        });
    }

    /// A task that has not exited; false if its machine is not where this attempt is placed.
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
        if placement.stage == Stage::Up(task.state) {
            return true;
        }
        let first = !matches!(placement.stage, Stage::Up(_));
        placement.stage = Stage::Up(task.state);
        if first {
            placement.since = now;
        }
        if let Some(leader) = self.leader_mut() {
            leader.dirty |= first;
            leader.machines.touch(machine);
        }
        if task.state == TaskState::Running {
            tracing::debug!(task = %id, %machine, "task runs");
            self.note_image(machine, &id.job);
        }
        true
    }

    /// Notes that the machine has the job's image now.
    fn note_image(&mut self, machine: &MachineId, job: &JobId) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let types = self.types.clone();
        if let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(machine)) {
            let machine_type = types.as_ref().and_then(|t| t.get(&machine.machine_type));
            let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
            machine.use_image(&image, image_gb, cache_gb);
        }
    }

    /// A task has left its machine and says why.
    fn on_exited(&mut self, machine: &MachineId, id: &TaskId, task: &Task) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let placement = job.live.get(&id.index);
        let placed_here =
            placement.is_some_and(|p| p.machine == *machine && p.attempt == task.attempt);
        if placed_here {
            self.take_off(id);
        } else if task.why != Some(Why::Done) || job.spec.kind != Kind::Array {
            return;
        }
        match task.why {
            Some(Why::Done) => self.on_completed(machine, id),
            Some(Why::Error) if placed_here => self.on_failure(machine, &id.job),
            Some(Why::Unknown) if placed_here => {
                self.delay_restart(&id.job);
                tracing::info!(task = %id, "the worker does not know the job");
            }
            Some(Why::NoRoom | Why::Busy) if placed_here => {
                tracing::info!(task = %id, %machine, why = ?task.why, "start refused");
            }
            _ => {}
        }
        self.undo_gang(&id.job);
        self.settle_job(&id.job);
    }

    fn on_completed(&mut self, machine: &MachineId, id: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.failures = 0;
        // A second attempt of a task that is done has nothing left to do.
        if let Some(other) = job.live.get_mut(&id.index) {
            other.order_stop(0, now);
        }
        let all_done = job.complete(id.index);
        let failed_on = std::mem::take(&mut job.failed_on);
        if job.is_gang() && !job.live.is_empty() {
            // They complete together; what does not is stopped.
            job.stop_all(0, now);
        }
        self.attribute_failures(machine, failed_on);
        if all_done {
            tracing::debug!(job = %id.job, "all tasks done");
        }
        if let Some(leader) = self.leader_mut() {
            leader.ends.note(&id.job, all_done);
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

    /// Takes tasks off the machine that its newest report does not name and that are surely gone.
    fn remove_absent_tasks(
        &mut self,
        machine: &MachineId,
        seq_no: SeqNo,
        reported: &BTreeSet<(TaskId, u64)>,
    ) {
        for task in self.absent_tasks(machine, reported) {
            if self.is_gone(&task, seq_no) {
                tracing::debug!(%task, %machine, "task is no longer on its machine");
                self.lose(&task);
            }
        }
    }

    fn absent_tasks(&self, id: &MachineId, reported: &BTreeSet<(TaskId, u64)>) -> Vec<TaskId> {
        let Some(machine) = self.leader().and_then(|l| l.machines.get(id)) else {
            return Vec::new();
        };
        let absent = |task: &&TaskId| {
            let placement = self.placement(task);
            placement.is_some_and(|p| !reported.contains(&((*task).clone(), p.attempt)))
        };
        machine.tasks.iter().filter(absent).cloned().collect()
    }

    /// Whether a task that its machine's report of this number does not name is surely not there,
    /// and is not to be sent again.
    fn is_gone(&self, task: &TaskId, seq_no: SeqNo) -> bool {
        let Some(placement) = self.placement(task) else {
            return false;
        };
        match placement.stage {
            Stage::Planned => false,
            Stage::Starting { sent: None, .. } => placement.stop.is_some(),
            // Not there although the start was sent: lost on the way. It is sent again
            // unless that was tried often enough.
            Stage::Starting {
                sent: Some(sent),
                resends,
            } => sent < seq_no && (resends >= k::START_RESENDS || placement.stop.is_some()),
            Stage::Up(_) => true,
        }
    }
}

/// Takes over what the report says of the machine's type, place and address.
fn note_description(machine: &mut Machine, report: &Report) {
    if &*machine.machine_type != report.machine_type.as_str() {
        machine.machine_type = report.machine_type.as_str().into();
    }
    if &*machine.zone != report.zone.as_str() {
        machine.zone = report.zone.as_str().into();
    }
    machine.spot = report.spot;
    machine.addr = report.addr.parse().ok();
}

/// Notes when the cloud will reclaim the machine; whether that is news.
fn note_reclaim_notice(machine: &mut Machine, report: &Report, now: Ms) -> bool {
    let Some(notice) = report.notice_s.filter(|n| n.is_finite()) else {
        return false;
    };
    let first = machine.taken_at.is_none();
    if first {
        tracing::info!(machine = report.machine, notice, "machine will be taken");
    }
    machine.taken_at = Some(now + (notice.max(0.0) * 1000.0) as u64);
    first
}
