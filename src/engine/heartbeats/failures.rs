//! Failure attribution: whether the machine or the job is at fault when a task fails.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, Machine, MachineId};
use std::collections::BTreeSet;

impl Engine {
    /// A task failed. A machine on which several jobs fail is quarantined; a job that later
    /// completes elsewhere shows that the machine was at fault.
    pub(super) fn on_failure(&mut self, machine: &MachineId, job: &JobId) {
        self.delay_restart(job);
        if let Some(job) = self.jobs.get_mut(job) {
            job.failed_on.insert(machine.clone());
        }
        tracing::info!(%machine, %job, "task failed");
        let job = job.clone();
        if let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(machine)) {
            machine.failed_jobs.insert(job);
            if machine.failed_jobs.len() >= constants::QUARANTINE_AFTER_JOBS {
                quarantine(machine);
            }
        }
    }

    /// A job has completed a task on `good`: machines on which it failed are at fault.
    pub(super) fn attribute_failures(&mut self, good: &MachineId, failed_on: BTreeSet<MachineId>) {
        let Some(leader) = self.leader_mut() else {
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
    pub(super) fn delay_restart(&mut self, job: &JobId) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(job) {
            job.consecutive_failures += 1;
            let pause = constants::TASK_FAILURE_INITIAL_BACKOFF_MS
                << (job.consecutive_failures - 1).min(16);
            job.backoff_until = now + pause.min(constants::TASK_FAILURE_MAX_BACKOFF_MS);
        }
    }
}

fn quarantine(machine: &mut Machine) {
    if !machine.quarantined {
        tracing::info!(machine = %machine.id, "machine quarantined: tasks fail on it");
        machine.quarantined = true;
    }
}
