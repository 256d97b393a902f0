//! Failure attribution: whether the machine or the job is at fault when a task fails.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, Machine, MachineId};
use std::collections::BTreeSet;

impl Engine {
    /// A task failed. A machine on which several jobs fail is quarantined; a job that later
    /// completes elsewhere shows that the machine was at fault.
    pub(super) fn on_task_failed(&mut self, machine: &MachineId, id: &JobId) {
        self.delay_restart(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.failed_on.insert(machine.clone());
        }
        tracing::info!(%machine, job = %id, "task failed");
        let leader = self.leadership.leader_mut();
        if let Some(machine) = leader.and_then(|leader| leader.machines.get_mut(machine)) {
            machine.failed_jobs.insert(id.clone());
            if machine.failed_jobs.len() >= constants::QUARANTINE_FAILED_JOBS {
                quarantine(machine);
            }
        }
    }

    /// A job has completed a task on `good`: machines on which it failed are at fault.
    pub(super) fn attribute_failures(&mut self, good: &MachineId, failed_on: &BTreeSet<MachineId>) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(machine) = leader.machines.get_mut(good) {
            machine.failed_jobs.clear();
        }
        for id in failed_on.iter().filter(|id| *id != good) {
            if let Some(machine) = leader.machines.get_mut(id) {
                quarantine(machine);
            }
        }
    }

    /// Keeps a job from starting for a time that doubles with each failure in a row.
    pub(super) fn delay_restart(&mut self, id: &JobId) {
        let now = self.context.now();
        if let Some(job) = self.jobs.get_mut(id) {
            job.consecutive_failures += 1;
            let doublings = (job.consecutive_failures - 1).min(constants::MAX_BACKOFF_DOUBLINGS);
            let backoff = constants::TASK_FAILURE_INITIAL_BACKOFF * (1 << doublings);
            job.backoff_until = now + backoff.min(constants::TASK_FAILURE_MAX_BACKOFF);
        }
    }
}

fn quarantine(machine: &mut Machine) {
    if !machine.quarantined {
        tracing::info!(machine = %machine.id, "machine quarantined");
        machine.quarantined = true;
    }
}
