//! Reconciliation: compares the tasks that a heartbeat reports with the model.
//!
//! A task that is reported but not placed on the machine is orphaned and is stopped. The placement
//! of a task that is not reported is removed once the task is proven to be gone.

use super::{sequence_of, stop_at_once};
use crate::constants;
use crate::engine::Engine;
use crate::model::{HeartbeatSequence, JobId, MachineId, PlacementStage, TaskId};
use crate::wire::worker::{Heartbeat, Task, TaskState, WorkerCommand};
use std::collections::BTreeSet;

/// Task attempts, each as the task's id and the number of the attempt.
type Attempts = BTreeSet<(TaskId, u64)>;

impl Engine {
    /// Reconciles the newest heartbeat of a machine, which confirms this leader's term, with the
    /// model. Returns the commands that result.
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
            let is_new = reported.insert((id.clone(), task.attempt));
            if task.state == TaskState::Exited {
                commands.extend(self.reconcile_exited(&machine, &id, task));
            } else if self.reconcile_present(&machine, &id, task) {
                expected_tasks += usize::from(is_new);
            } else {
                commands.push(stop_at_once(task));
                orphaned.insert((id, task.attempt));
            }
        }
        // In the common case the machine reports exactly the tasks that are placed on it, and the
        // search for absent tasks is skipped.
        let leader = self.leadership.leader();
        let fleet_machine = leader.and_then(|leader| leader.machines.get(&machine));
        if fleet_machine.is_some_and(|fleet_machine| fleet_machine.tasks.len() != expected_tasks) {
            self.remove_absent_tasks(&machine, sequence_of(heartbeat), &reported);
        }
        self.record_orphaned_tasks(&machine, orphaned);
        commands
    }

    /// Handles a task that has exited. Returns a command to forget the task once the leader no
    /// longer needs the worker to report the exit.
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

    /// Records the machine's orphaned tasks. Also records that the machine is in use, if tasks are
    /// placed on it.
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

    /// Handles a task that has not exited. Returns false if this attempt is not placed on the
    /// machine.
    fn reconcile_present(&mut self, machine: &MachineId, id: &TaskId, task: &Task) -> bool {
        let Some(placement) = self.jobs.placement(id) else {
            return false;
        };
        if placement.machine != *machine || placement.attempt != task.attempt {
            return false;
        }
        let reported = PlacementStage::Reported(task.state);
        if placement.stage == reported {
            return true;
        }
        self.record_reported_stage(machine, id, reported);
        match task.state {
            TaskState::Running => {
                tracing::debug!(task = %id, %machine, "task runs");
                self.record_image(machine, &id.job);
            }
            TaskState::WaitingForGang => {
                self.record_image(machine, &id.job);
                self.restart_gang_if_ready(&id.job);
            }
            TaskState::Fetching | TaskState::Checkpointing | TaskState::Exited => {}
        }
        true
    }

    /// Records the stage that follows from a heartbeat of the task's machine. The first heartbeat
    /// that lists the task confirms its start, after which the machine may get further tasks.
    pub(in crate::engine) fn record_reported_stage(
        &mut self,
        machine: &MachineId,
        id: &TaskId,
        stage: PlacementStage,
    ) {
        let now = self.context.now();
        let Some(placement) = self.jobs.placement_mut(id) else {
            return;
        };
        let is_first_report = !placement.stage.is_confirmed();
        placement.enter_stage(stage, now);
        if is_first_report {
            placement.stage_since = now;
        }
        if let Some(leader) = self.leadership.leader_mut() {
            if is_first_report {
                leader.scheduling.request();
            }
            leader.machines.mark_dirty(machine);
        }
    }

    /// Records that the machine has the job's image in its cache.
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

    /// Removes the placements of tasks that the machine's newest heartbeat does not report and that
    /// are proven to be gone.
    fn remove_absent_tasks(
        &mut self,
        machine: &MachineId,
        sequence: HeartbeatSequence,
        reported: &Attempts,
    ) {
        for task in self.absent_tasks(machine, reported) {
            if self.is_proven_gone(&task, sequence) {
                tracing::debug!(%task, %machine, "task is gone from its machine");
                self.handle_lost_task(&task);
            }
        }
    }

    /// Returns the tasks that are placed on the machine and not among the reported attempts.
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

    /// Reports whether a task that the machine's heartbeat `sequence` does not report is proven to
    /// be gone and its start is not to be sent again.
    fn is_proven_gone(&self, task: &TaskId, sequence: HeartbeatSequence) -> bool {
        let Some(placement) = self.jobs.placement(task) else {
            return false;
        };
        let stop_requested = placement.stop_request.is_some();
        match placement.stage {
            PlacementStage::Planned => false,
            PlacementStage::Starting { sent: None, .. } => stop_requested,
            // The start was sent before this heartbeat and the task is not reported, so the start
            // was lost. It is sent again, up to MAX_START_RESENDS times.
            PlacementStage::Starting {
                sent: Some(sent),
                resends,
            } => sent < sequence && (resends >= constants::MAX_START_RESENDS || stop_requested),
            PlacementStage::Reported(_)
            | PlacementStage::AwaitingRestart
            | PlacementStage::Restarting => true,
        }
    }
}
