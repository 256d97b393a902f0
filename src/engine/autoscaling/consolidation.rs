//! Consolidation: replicas of services on half-empty machines are moved together, so that machines
//! can be returned.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobSpec, Machine, MachineId, Placement, PlacementStage, Resources, TaskId};
use crate::placement::consolidation::{self, Drainable};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;

impl Engine {
    /// Drains one machine now and then, while no task waits for resources: it accepts no more tasks,
    /// and its replicas are stopped and placed again like any others.
    pub(in crate::engine) fn consolidate_when_due(&mut self) {
        let now = self.context.now();
        let leader = self.leadership.leader();
        let due = leader.is_some_and(|leader| now >= leader.autoscaling.next_consolidation_at);
        // What goes over all machines comes last: this is asked at every step.
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

    fn machine_to_drain(&self) -> Option<MachineId> {
        let leader = self.leadership.leader()?;
        let candidates: Vec<Drainable<'_>> = leader
            .machines
            .values()
            .filter(|machine| machine.accepts_tasks() && !machine.tasks.is_empty())
            .filter(|machine| !leader.autoscaling.reserved.contains(&machine.id))
            .filter_map(|machine| self.as_drainable(machine))
            .collect();
        let any = Resources::default();
        consolidation::choose_machine_to_drain(&candidates, &leader.machines.schedulable(any))
    }

    /// The machine with its replicas, if it holds nothing else and all of them have run for a while.
    fn as_drainable(&self, machine: &Machine) -> Option<Drainable<'_>> {
        let replicas = machine.tasks.iter().map(|task| self.settled_replica(task));
        Some(Drainable {
            machine: machine.id.clone(),
            replicas: replicas.collect::<Option<_>>()?,
        })
    }

    /// What the service asks for that this task is a replica of, if the replica has run for a while.
    fn settled_replica(&self, task: &TaskId) -> Option<&JobSpec> {
        let job = self.jobs.get(&task.job).filter(|job| job.is_open())?;
        let placement = job.placements.get(&task.index)?;
        let is_replica = job.spec.kind == JobKind::Service;
        (is_replica && self.has_run_for_a_while(placement)).then_some(&job.spec)
    }

    fn has_run_for_a_while(&self, placement: &Placement) -> bool {
        let running = PlacementStage::Reported(TaskState::Running);
        let settled_at = placement.stage_since + constants::MIN_RUN_BEFORE_PREEMPTION;
        placement.stage == running
            && placement.stop_request.is_none()
            && self.context.now() >= settled_at
    }
}
