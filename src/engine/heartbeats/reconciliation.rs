//! Reconciliation: a confirmed report is compared with the model of its machine and tasks.
//!
//! A task that the report names and the model does not is orphaned and stopped; a task that the
//! model places there and the report does not name is taken off, once it is proven to be returned_machines.

use super::{sequence_of, stop_at_once};
use crate::constants;
use crate::engine::Engine;
use crate::model::{
    FencingToken, HeartbeatSequence, JobId, JobPhase, Machine, MachineId, MachinePhase, Ms,
    PlacementStage, TaskId,
};
use crate::wire::user::JobKind;
use crate::wire::worker::{ExitReason, Heartbeat, Task, TaskState, WorkerCommand};
use std::collections::BTreeSet;

impl Engine {
    /// Takes note of the machine itself; false if the report is out of date or of a machine
    /// that is returned_machines.
    pub(super) fn note_machine(&mut self, heartbeat: &Heartbeat, confirmed: bool) -> bool {
        let (now, on_time) = (self.now, self.timing.heartbeat_deadline);
        let heartbeat_sequence = sequence_of(heartbeat);
        let Some(leader) = self.leader_mut() else {
            return false;
        };
        let id = MachineId::from(&*heartbeat.machine);
        if leader.returned_machines.get(&id).is_some() {
            return false;
        }
        let token = leader.token_for(&id, FencingToken(heartbeat.fencing_token));
        leader.machines.insert_if_absent(&id, |id| {
            tracing::info!(machine = %id, "unexpected machine reports");
            Machine::new(id, "".into(), "".into(), heartbeat.spot, now)
        });
        let noted = leader.machines.update(&id, |machine| {
            if heartbeat_sequence <= machine.heartbeat_sequence {
                return None;
            }
            machine.fencing_token = token;
            machine.record_heartbeat(heartbeat_sequence, confirmed, now, on_time);
            note_description(machine, heartbeat);
            let mut news = note_reclaim_notice(machine, heartbeat, now);
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
        leader.needs_scheduling |= news;
        true
    }

    /// Compares a confirmed, newest report with the model; the orders that follow from it.
    pub(super) fn reconcile(&mut self, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let machine = MachineId::from(&*heartbeat.machine);
        let mut commands = Vec::new();
        let mut reported = BTreeSet::new();
        let mut orphaned = BTreeSet::new();
        let mut present = 0;
        for task in &heartbeat.tasks {
            let Some(id) = TaskId::parse(&task.task) else {
                tracing::debug!(task = task.task, "report names no task");
                continue;
            };
            let first = reported.insert((id.clone(), task.attempt));
            if task.state == TaskState::Exited {
                self.on_exited(&machine, &id, task);
                if self.completion_is_durable(&id, task) {
                    commands.push(WorkerCommand::Forget {
                        task: task.task.clone(),
                        attempt: task.attempt,
                    });
                }
            } else if self.on_present(&machine, &id, task) {
                present += usize::from(first);
            } else {
                commands.push(stop_at_once(task));
                orphaned.insert((id, task.attempt));
            }
        }
        // Mostly the machine has exactly what is placed on it.
        let placed = self.leader().and_then(|l| l.machines.get(&machine));
        if placed.is_some_and(|placed| placed.tasks.len() != present) {
            self.remove_absent_tasks(&machine, sequence_of(heartbeat), &reported);
        }
        self.note_orphaned_tasks(&machine, orphaned);
        commands
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
        let Some(placement) = job.placements.get_mut(&id.index) else {
            return false;
        };
        if placement.machine != *machine || placement.attempt != task.attempt {
            return false;
        }
        if placement.stage == PlacementStage::Reported(task.state) {
            return true;
        }
        let first = !matches!(placement.stage, PlacementStage::Reported(_));
        placement.stage = PlacementStage::Reported(task.state);
        if first {
            placement.stage_since = now;
        }
        if let Some(leader) = self.leader_mut() {
            leader.needs_scheduling |= first;
            leader.machines.mark_dirty(machine);
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
        let types = self.machine_types.clone();
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
        let placement = job.placements.get(&id.index);
        let placed_here =
            placement.is_some_and(|p| p.machine == *machine && p.attempt == task.attempt);
        if placed_here {
            self.remove_placement(id);
        } else if task.exit_reason != Some(ExitReason::Completed) || job.spec.kind != JobKind::Array
        {
            return;
        }
        match task.exit_reason {
            Some(ExitReason::Completed) => self.on_completed(machine, id),
            Some(ExitReason::Failed) if placed_here => self.on_failure(machine, &id.job),
            Some(ExitReason::UnknownTask) if placed_here => {
                self.delay_restart(&id.job);
                tracing::info!(task = %id, "the worker does not know the job");
            }
            Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict)
                if placed_here =>
            {
                tracing::info!(task = %id, %machine, why = ?task.exit_reason, "start refused");
            }
            _ => {}
        }
        self.undo_gang(&id.job);
        self.finish_job_if_over(&id.job);
    }

    fn on_completed(&mut self, machine: &MachineId, id: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.consecutive_failures = 0;
        // A second attempt of a task that is done has nothing left to do.
        if let Some(other) = job.placements.get_mut(&id.index) {
            other.request_stop(0, now);
        }
        let all_done = job.complete(id.index);
        let failed_on = std::mem::take(&mut job.failed_on);
        if job.is_gang() && !job.placements.is_empty() {
            // They complete together; what does not is stopped.
            job.stop_all_tasks(0, now);
        }
        self.attribute_failures(machine, failed_on);
        if all_done {
            tracing::debug!(job = %id.job, "all tasks done");
        }
        if let Some(leader) = self.leader_mut() {
            leader.completions.note(&id.job, all_done);
        }
    }

    /// Whether a task's end may be forgotten by the worker. Only a completion has to be on
    /// record first: any other end just makes the task wait again, which is also what a new
    /// leader concludes when the machine no longer names it.
    fn completion_is_durable(&self, id: &TaskId, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        if task.exit_reason != Some(ExitReason::Completed) {
            return true;
        }
        match job.phase {
            JobPhase::Open => {
                !job.completed.contains(id.index) || job.durable_completions.contains(id.index)
            }
            JobPhase::Done { recorded } => recorded,
            JobPhase::Cancelled => true,
        }
    }

    /// Takes tasks off the machine that its newest report does not name and that are surely returned_machines.
    fn remove_absent_tasks(
        &mut self,
        machine: &MachineId,
        heartbeat_sequence: HeartbeatSequence,
        reported: &BTreeSet<(TaskId, u64)>,
    ) {
        for task in self.absent_tasks(machine, reported) {
            if self.is_gone(&task, heartbeat_sequence) {
                tracing::debug!(%task, %machine, "task is no longer on its machine");
                self.handle_lost_task(&task);
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
    fn is_gone(&self, task: &TaskId, heartbeat_sequence: HeartbeatSequence) -> bool {
        let Some(placement) = self.placement(task) else {
            return false;
        };
        match placement.stage {
            PlacementStage::Planned => false,
            PlacementStage::Starting { sent: None, .. } => placement.stop_request.is_some(),
            // Not there although the start was sent: lost on the way. It is sent again
            // unless that was tried often enough.
            PlacementStage::Starting {
                sent: Some(sent),
                resends,
            } => {
                sent < heartbeat_sequence
                    && (resends >= constants::START_RESENDS || placement.stop_request.is_some())
            }
            PlacementStage::Reported(_) => true,
        }
    }
}

/// Takes over what the report says of the machine's type, place and address.
fn note_description(machine: &mut Machine, heartbeat: &Heartbeat) {
    if &*machine.machine_type != heartbeat.machine_type.as_str() {
        machine.machine_type = heartbeat.machine_type.as_str().into();
    }
    if &*machine.zone != heartbeat.zone.as_str() {
        machine.zone = heartbeat.zone.as_str().into();
    }
    machine.spot = heartbeat.spot;
    machine.address = heartbeat.address.parse().ok();
}

/// Notes when the cloud will reclaim the machine; whether that is news.
fn note_reclaim_notice(machine: &mut Machine, heartbeat: &Heartbeat, now: Ms) -> bool {
    let Some(notice) = heartbeat.preemption_notice_s.filter(|n| n.is_finite()) else {
        return false;
    };
    let first = machine.preemption_at.is_none();
    if first {
        tracing::info!(machine = heartbeat.machine, notice, "machine will be taken");
    }
    machine.preemption_at = Some(now + (notice.max(0.0) * 1000.0) as u64);
    first
}
