//! Consolidation: moves replicas of services from half-empty machines onto other machines, so that
//! the emptied machines can be returned.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobSpec, Machine, MachineId, Placement, PlacementStage, Resources, TaskId};
use crate::placement::consolidation::{self, Drainable};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;

impl Engine {
    /// Drains at most one machine per [`constants::CONSOLIDATION_INTERVAL`], and only while no task
    /// waits for resources. A draining machine accepts no more tasks; its replicas are stopped and
    /// then placed again like any other waiting tasks.
    pub(in crate::engine) fn consolidate_when_due(&mut self) {
        let now = self.context.now();
        let leader = self.leadership.leader();
        let due = leader.is_some_and(|leader| now >= leader.autoscaling.next_consolidation_at);
        // This check runs at every step. The condition that iterates over all machines is evaluated
        // last.
        if !due || !self.holds_valid_lease() || self.awaits_first_heartbeats() {
            return;
        }
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        leader.autoscaling.next_consolidation_at = now + constants::CONSOLIDATION_INTERVAL;
        if leader.autoscaling.has_demand() {
            return;
        }
        self.refresh_snapshots();
        if let Some(id) = self.machine_to_drain() {
            self.drain(&id);
        }
    }

    /// Marks the machine as draining and stops its replicas.
    fn drain(&mut self, id: &MachineId) {
        let leader = self.leadership.leader_mut();
        let Some(machine) = leader.and_then(|leader| leader.machines.get_mut(id)) else {
            return;
        };
        machine.draining = true;
        let replicas: Vec<TaskId> = machine.tasks.iter().cloned().collect();
        tracing::info!(machine = %id, replicas = replicas.len(), "draining machine");
        for task in replicas {
            self.stop_task(&task);
        }
    }

    /// Returns the machine to drain, if the replicas of one fit on other machines.
    fn machine_to_drain(&self) -> Option<MachineId> {
        let leader = self.leadership.leader()?;
        let candidates: Vec<Drainable<'_>> = leader
            .machines
            .values()
            .filter(|machine| machine.accepts_tasks() && !machine.tasks.is_empty())
            .filter(|machine| !leader.autoscaling.reserved.contains(&machine.id))
            .filter_map(|machine| self.as_drainable(machine))
            .collect();
        let no_minimum = Resources::default();
        consolidation::choose_machine_to_drain(
            &candidates,
            &leader.machines.schedulable(no_minimum),
        )
    }

    /// Returns the machine with the specifications of its replicas, or `None` unless every task on
    /// the machine is a replica that has run for [`constants::MIN_RUN_BEFORE_PREEMPTION`].
    fn as_drainable(&self, machine: &Machine) -> Option<Drainable<'_>> {
        let replicas = machine
            .tasks
            .iter()
            .map(|task| self.long_running_replica(task));
        Some(Drainable {
            machine: machine.id.clone(),
            replicas: replicas.collect::<Option<_>>()?,
        })
    }

    /// Returns the specification of the service that the task is a replica of, or `None` if the
    /// task is no replica or has not run for [`constants::MIN_RUN_BEFORE_PREEMPTION`].
    fn long_running_replica(&self, task: &TaskId) -> Option<&JobSpec> {
        let job = self.jobs.get(&task.job).filter(|job| job.is_open())?;
        let placement = job.placements.get(&task.index)?;
        let is_replica = job.spec.kind == JobKind::Service;
        (is_replica && self.has_run_for_minimum_time(placement)).then_some(&job.spec)
    }

    /// Reports whether the task has run for [`constants::MIN_RUN_BEFORE_PREEMPTION`] and its stop
    /// has not been requested.
    fn has_run_for_minimum_time(&self, placement: &Placement) -> bool {
        let running = PlacementStage::Reported(TaskState::Running);
        let movable_from = placement.stage_since + constants::MIN_RUN_BEFORE_PREEMPTION;
        placement.stage == running
            && placement.stop_request.is_none()
            && self.context.now() >= movable_from
    }
}
