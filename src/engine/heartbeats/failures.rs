//! Failure attribution: decides whether a failed task is due to its machine or to its job.
//!
//! A failure by itself tells nothing about which of the two is at fault; what happens later does. A
//! job that completes elsewhere proves that the machine is at fault. A job that has failed wherever
//! it was started, and is cancelled, has most likely been submitted with a mistake: its failures
//! are no longer held against the machines.

use crate::constants;
use crate::engine::Engine;
use crate::model::{JobId, JobPhase, Machine, MachineId, Quarantine};
use std::collections::BTreeSet;

impl Engine {
    /// Handles the failure of a task: delays the job's restart and records the job as failed on the
    /// machine. A machine on which [`constants::QUARANTINE_FAILED_JOBS`] jobs have failed since a
    /// task last completed there is quarantined. Failures of a cancelled job are not held against
    /// the machine, because nothing can be learnt about the job any more.
    pub(in crate::engine) fn on_task_failed(&mut self, machine: &MachineId, id: &JobId) {
        self.delay_restart(id);
        tracing::info!(%machine, job = %id, "task failed");
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.phase != JobPhase::Cancelled)
        else {
            return;
        };
        job.failed_machines.insert(machine.clone());
        let leader = self.leadership.leader_mut();
        if let Some(machine) = leader.and_then(|leader| leader.machines.get_mut(machine)) {
            machine.failed_jobs.insert(id.clone());
            if machine.failed_jobs.len() >= constants::QUARANTINE_FAILED_JOBS {
                quarantine(machine, Quarantine::Suspected);
            }
        }
    }

    /// Handles the completion of a job's task on `succeeded_on`, which clears the failures recorded
    /// for that machine unless it is quarantined: the task may have been started before the machine
    /// began to fail. The other machines on which the job failed before are taken to be at fault
    /// and are quarantined.
    pub(super) fn attribute_failures(
        &mut self,
        succeeded_on: &MachineId,
        failed_on: &BTreeSet<MachineId>,
    ) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(machine) = leader.machines.get_mut(succeeded_on)
            && machine.quarantine.is_none()
        {
            machine.failed_jobs.clear();
        }
        for id in failed_on.iter().filter(|id| *id != succeeded_on) {
            if let Some(machine) = leader.machines.get_mut(id) {
                quarantine(machine, Quarantine::Proven);
            }
        }
    }

    /// Handles the cancellation of a job. If the job has failed on several machines and completed
    /// no task since, its failures are no longer held against them, and quarantines that were based
    /// on them end.
    ///
    /// A job decides nothing if it has failed on one machine only, since it might have completed
    /// elsewhere, or if one of its tasks has been running for
    /// [`constants::SOUND_JOB_RUN_TIME`].
    pub(in crate::engine) fn withdraw_failures_of_faulty_job(&mut self, id: &JobId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let failed_on = std::mem::take(&mut job.failed_machines);
        let is_faulty = failed_on.len() >= constants::MIN_MACHINES_FAILED_BY_FAULTY_JOB
            && !job.has_run_for(constants::SOUND_JOB_RUN_TIME, now);
        if !is_faulty {
            return;
        }
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        for machine in &failed_on {
            if let Some(machine) = leader.machines.get_mut(machine) {
                machine.failed_jobs.remove(id);
                end_unfounded_quarantine(machine);
            }
        }
        leader.scheduling.request();
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

/// Quarantines the machine for a reason. A proof replaces a suspicion.
fn quarantine(machine: &mut Machine, reason: Quarantine) {
    let known = machine.quarantine;
    if known == Some(Quarantine::Proven) || known == Some(reason) {
        return;
    }
    let failed_jobs = &machine.failed_jobs;
    tracing::info!(machine = %machine.id, ?reason, ?failed_jobs, "machine quarantined");
    machine.quarantine = Some(reason);
}

/// Ends the quarantine of a machine on which too few jobs have failed for a suspicion.
fn end_unfounded_quarantine(machine: &mut Machine) {
    let is_unfounded = machine.failed_jobs.len() < constants::QUARANTINE_FAILED_JOBS;
    if machine.quarantine == Some(Quarantine::Suspected) && is_unfounded {
        tracing::info!(machine = %machine.id, "quarantine ended");
        machine.quarantine = None;
    }
}
