//! Consolidation: replicas of services on half-empty machines are moved together, so that machines
//! can be returned.

use crate::constants;
use crate::engine::{Engine, Leader};
use crate::model::{JobSpec, Machine, MachineId, Placement, PlacementStage, Resources, TaskId};
use crate::placement::consolidation::{self, Drainable};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;

impl Engine {
    /// Drains one machine now and then, while nothing waits for room: it takes no more tasks, and its
    /// replicas are stopped and placed anew like any others.
    pub(in crate::engine) fn consolidate_when_due(&mut self) {
        let now = self.now;
        let due = |l: &Leader| now >= l.autoscaling.next_consolidation_at;
        // What goes over all machines comes last: this is asked at every step.
        if !self.leader().is_some_and(due)
            || !self.holds_valid_lease()
            || self.awaits_first_heartbeats()
        {
            return;
        }
        let Some(autoscaling) = self.leader_mut().map(|l| &mut l.autoscaling) else {
            return;
        };
        autoscaling.next_consolidation_at = now + constants::CONSOLIDATION_INTERVAL_MS;
        if !autoscaling.demand.is_empty() {
            return;
        }
        self.refresh_snapshots();
        let Some(id) = self.machine_to_drain() else {
            return;
        };
        let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(&id)) else {
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
        let leader = self.leader()?;
        let candidates: Vec<Drainable<'_>> = leader
            .machines
            .values()
            .filter(|machine| machine.accepts_tasks() && !machine.tasks.is_empty())
            .filter(|machine| !leader.autoscaling.reserved.contains(&machine.id))
            .filter_map(|machine| self.as_drainable(machine))
            .collect();
        consolidation::choose_machine_to_drain(
            &candidates,
            &leader.machines.ready(Resources::default()),
        )
    }

    /// The machine with its replicas, if it holds nothing else and all of them have run for a while.
    fn as_drainable(&self, machine: &Machine) -> Option<Drainable<'_>> {
        let settled = |placement: &Placement| {
            matches!(
                placement.stage,
                PlacementStage::Reported(TaskState::Running)
            ) && placement.stop_request.is_none()
                && self.now >= placement.stage_since + constants::MIN_RUN_BEFORE_PREEMPTION_MS
        };
        let replica = |task: &TaskId| -> Option<&JobSpec> {
            let job = self.jobs.get(&task.job).filter(|job| job.is_open())?;
            let placement = job.placements.get(&task.index)?;
            (job.spec.kind == JobKind::Service && settled(placement)).then_some(&job.spec)
        };
        Some(Drainable {
            machine: machine.id.clone(),
            replicas: machine.tasks.iter().map(replica).collect::<Option<_>>()?,
        })
    }
}
