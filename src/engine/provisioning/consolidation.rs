//! Consolidation: replicas of services on half-empty machines are moved together, so that machines
//! can be returned.

use crate::constants as k;
use crate::engine::{Engine, Leader};
use crate::model::{Machine, MachineId, Placement, Resources, Spec, Stage, TaskId};
use crate::placement::consolidation::{self, Drainable};
use crate::wire::user::Kind;
use crate::wire::worker::TaskState;

impl Engine {
    /// Drains one machine now and then, while nothing waits for room: it takes no more tasks, and its
    /// replicas are stopped and placed anew like any others.
    pub(in crate::engine) fn consolidate_when_due(&mut self) {
        let now = self.now;
        let due = |l: &Leader| now >= l.provisioning.next_consolidation_at;
        // What goes over all machines comes last: this is asked at every step.
        if !self.leader().is_some_and(due)
            || !self.holds_valid_lease()
            || self.awaits_first_reports()
        {
            return;
        }
        let Some(provisioning) = self.leader_mut().map(|l| &mut l.provisioning) else {
            return;
        };
        provisioning.next_consolidation_at = now + k::CONSOLIDATE_EVERY_MS;
        if !provisioning.demand.is_empty() {
            return;
        }
        self.refresh_slots();
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
            .filter(|machine| machine.takes_tasks() && !machine.tasks.is_empty())
            .filter(|machine| !leader.provisioning.reserved.contains(&machine.id))
            .filter_map(|machine| self.as_drainable(machine))
            .collect();
        consolidation::choose(&candidates, &leader.machines.ready(Resources::default()))
    }

    /// The machine with its replicas, if it holds nothing else and all of them have run for a while.
    fn as_drainable(&self, machine: &Machine) -> Option<Drainable<'_>> {
        let settled = |placement: &Placement| {
            matches!(placement.stage, Stage::Up(TaskState::Running))
                && placement.stop.is_none()
                && self.now >= placement.since + k::SETTLED_MS
        };
        let replica = |task: &TaskId| -> Option<&Spec> {
            let job = self.jobs.get(&task.job).filter(|job| job.is_open())?;
            let placement = job.live.get(&task.index)?;
            (job.spec.kind == Kind::Service && settled(placement)).then_some(&job.spec)
        };
        Some(Drainable {
            machine: machine.id.clone(),
            replicas: machine.tasks.iter().map(replica).collect::<Option<_>>()?,
        })
    }
}
