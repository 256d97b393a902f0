//! Reconciliation: the tasks of a heartbeat are compared with the model.
//!
//! A task that the heartbeat names and the model does not is orphaned and stopped; the placement of
//! a task that the heartbeat does not name is removed, once the task is proven to be gone.

use super::{sequence_of, stop_at_once};
use crate::constants;
use crate::engine::Engine;
use crate::model::{HeartbeatSequence, JobId, MachineId, PlacementStage, TaskId};
use crate::wire::worker::{Heartbeat, Task, TaskState, WorkerCommand};
use std::collections::BTreeSet;

/// Attempts of tasks.
type Attempts = BTreeSet<(TaskId, u64)>;

impl Engine {
    /// Compares the newest heartbeat of a machine, which confirms this leader's term, with the
    /// model; the commands that follow from it.
    pub(super) fn reconcile(&mut self, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let machine = MachineId::from(&*heartbeat.machine);
        let mut commands = Vec::new();
        let mut reported = Attempts::new();
        let mut orphaned = Attempts::new();
        let mut expected_tasks = 0;
        for task in &heartbeat.tasks {
            let Some(id) = TaskId::parse(&task.task) else {
                tracing::debug!(%machine, task = task.task, "heartbeat names no task");
                continue;
            };
            let first = reported.insert((id.clone(), task.attempt));
            if task.state == TaskState::Exited {
                commands.extend(self.reconcile_exited(&machine, &id, task));
            } else if self.reconcile_present(&machine, &id, task) {
                expected_tasks += usize::from(first);
            } else {
                commands.push(stop_at_once(task));
                orphaned.insert((id, task.attempt));
            }
        }
        // Mostly the machine has exactly what is placed on it.
        let leader = self.leadership.leader();
        let placed = leader.and_then(|leader| leader.machines.get(&machine));
        if placed.is_some_and(|placed| placed.tasks.len() != expected_tasks) {
            self.remove_absent_tasks(&machine, sequence_of(heartbeat), &reported);
        }
        self.record_orphaned_tasks(&machine, orphaned);
        commands
    }

    /// A task that has exited; the worker is told to forget it once its end needs no proof any more.
    fn reconcile_exited(
        &mut self,
        machine: &MachineId,
        id: &TaskId,
        task: &Task,
    ) -> Option<WorkerCommand> {
        self.on_task_exited(machine, id, task);
        self.may_forget(id, task).then(|| WorkerCommand::Forget {
            task: task.task.clone(),
            attempt: task.attempt,
        })
    }

    fn record_orphaned_tasks(&mut self, id: &MachineId, orphaned: Attempts) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        leader.machines.update(id, |machine| {
            for (task, _) in orphaned.difference(&machine.orphaned_tasks) {
                tracing::info!(machine = %id, %task, "stopping orphaned task");
            }
            machine.orphaned_tasks = orphaned;
            if !machine.tasks.is_empty() {
                machine.idle_since = now;
            }
        });
    }

    /// A task that has not exited; false if this attempt is not placed on its machine.
    fn reconcile_present(&mut self, machine: &MachineId, id: &TaskId, task: &Task) -> bool {
        let now = self.context.now();
        let Some(placement) = self.jobs.placement_mut(id) else {
            return false;
        };
        if placement.machine != *machine || placement.attempt != task.attempt {
            return false;
        }
        let reported = PlacementStage::Reported(task.state);
        if placement.stage == reported {
            return true;
        }
        let first = !matches!(placement.stage, PlacementStage::Reported(_));
        placement.stage = reported;
        if first {
            placement.stage_since = now;
        }
        if let Some(leader) = self.leadership.leader_mut() {
            if first {
                leader.scheduling.request();
            }
            leader.machines.mark_dirty(machine);
        }
        if task.state == TaskState::Running {
            tracing::debug!(task = %id, %machine, "task runs");
            self.record_image(machine, &id.job);
        }
        true
    }

    /// Records that the machine has the job's image now.
    fn record_image(&mut self, machine: &MachineId, job: &JobId) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let leader = self.leadership.leader_mut();
        let Some(machine) = leader.and_then(|leader| leader.machines.get_mut(machine)) else {
            return;
        };
        let machine_type = self.machine_types.get(&machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.record_image_use(&job.spec.image, job.spec.image_gb, cache_gb);
    }

    /// Removes the placements of tasks that the machine's newest heartbeat does not name and that are
    /// surely gone.
    fn remove_absent_tasks(
        &mut self,
        machine: &MachineId,
        sequence: HeartbeatSequence,
        reported: &Attempts,
    ) {
        for task in self.absent_tasks(machine, reported) {
            if self.is_gone(&task, sequence) {
                tracing::debug!(%task, %machine, "task is gone from its machine");
                self.handle_lost_task(&task);
            }
        }
    }

    fn absent_tasks(&self, id: &MachineId, reported: &Attempts) -> Vec<TaskId> {
        let leader = self.leadership.leader();
        let Some(machine) = leader.and_then(|leader| leader.machines.get(id)) else {
            return Vec::new();
        };
        let is_absent = |task: &&TaskId| {
            let placement = self.jobs.placement(task);
            placement
                .is_some_and(|placement| !reported.contains(&((*task).clone(), placement.attempt)))
        };
        machine.tasks.iter().filter(is_absent).cloned().collect()
    }

    /// Whether a task that its machine's heartbeat of this number does not name is surely not there,
    /// and is not to be sent again.
    fn is_gone(&self, task: &TaskId, sequence: HeartbeatSequence) -> bool {
        let Some(placement) = self.jobs.placement(task) else {
            return false;
        };
        let stopping = placement.stop_request.is_some();
        match placement.stage {
            PlacementStage::Planned => false,
            PlacementStage::Starting { sent: None, .. } => stopping,
            // Not there although the start was sent: lost on the way. It is sent again unless that
            // was tried often enough.
            PlacementStage::Starting {
                sent: Some(sent),
                resends,
            } => sent < sequence && (resends >= constants::MAX_START_RESENDS || stopping),
            PlacementStage::Reported(_) => true,
        }
    }
}
