//! Failure attribution: decides whether a failed task is due to its machine or to its job.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, Machine, MachineId};
use std::collections::BTreeSet;

impl Engine {
    /// Handles the failure of a task: delays the job's restart and records the job as failed on the
    /// machine. A machine on which [`constants::QUARANTINE_FAILED_JOBS`] jobs have failed since a
    /// task last completed there is quarantined.
    pub(in crate::engine) fn on_task_failed(&mut self, machine: &MachineId, id: &JobId) {
        self.delay_restart(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.failed_machines.insert(machine.clone());
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

    /// Handles the completion of a job's task on `succeeded_on`, which clears the failures recorded
    /// for that machine. The other machines on which the job failed before are taken to be at fault
    /// and are quarantined.
    pub(super) fn attribute_failures(
        &mut self,
        succeeded_on: &MachineId,
        failed_on: &BTreeSet<MachineId>,
    ) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(machine) = leader.machines.get_mut(succeeded_on) {
            machine.failed_jobs.clear();
        }
        for id in failed_on.iter().filter(|id| *id != succeeded_on) {
            if let Some(machine) = leader.machines.get_mut(id) {
                quarantine(machine);
            }
        }
    }

    /// Delays the job's next start by a backoff that doubles with each consecutive failure, up to
    /// [`constants::TASK_FAILURE_MAX_BACKOFF`].
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

/// Quarantines the machine, unless it is quarantined already.
fn quarantine(machine: &mut Machine) {
    if !machine.quarantined {
        tracing::info!(machine = %machine.id, "machine quarantined");
        machine.quarantined = true;
    }
}
