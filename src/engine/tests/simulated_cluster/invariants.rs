//! Invariants of the scheduler, checked whenever a task starts or a record is written.

use super::workers::{MACHINE_GPUS, job_of};
use super::{Millis, SimulatedCluster, UNLIMITED_GPUS, WorkerTask};
use crate::engine::records::{self, RoundRecord};
use crate::wire::store::{Mutation, Transaction};
use crate::wire::user::{JobKind, JobState};
use crate::wire::worker::TaskState;

/// Maximum time for which a task may run after its job was cancelled.
pub(super) const CANCELLATION_LIMIT: Millis = 42_000;

impl SimulatedCluster {
    /// Adds a violation with the current time to the recorded ones.
    fn record_violation(&mut self, violation: &str) {
        self.violations.push(format!("{}: {violation}", self.now));
    }

    /// Checks the invariants for a task that has just started on a machine: it runs on no other
    /// machine, its job's dependencies are done, its job was not cancelled too long ago, and the
    /// GPU limits of the team and of the machine are kept.
    pub(super) fn check_start(&mut self, machine: &str, task: &str) {
        let job = job_of(task);
        if self.active_machine_count(task) > 1 {
            self.record_violation(&format!("{task} is active on several machines"));
        }
        for dependency in self.jobs[job].depends_on.clone() {
            if !self.is_done(&dependency) {
                self.record_violation(&format!("{task} started before {dependency} was done"));
            }
        }
        let cancelled_at = self.cancelled.get(job).copied();
        if let Some(at) = cancelled_at.filter(|at| self.now > at + CANCELLATION_LIMIT) {
            self.record_violation(&format!("{task} started, its job was cancelled at {at}"));
        }
        self.check_gpus(machine);
    }

    /// Returns the number of machines on which the task has not exited.
    fn active_machine_count(&self, task: &str) -> usize {
        let machines = self.machines_of_task.get(task).into_iter().flatten();
        let workers = machines.filter_map(|machine| self.workers.get(machine));
        let tasks = workers.filter_map(|worker| worker.tasks.get(task));
        tasks
            .filter(|worker_task| worker_task.state != TaskState::Exited)
            .count()
    }

    /// Checks that neither the team nor the machine exceeds its GPU limit.
    fn check_gpus(&mut self, machine: &str) {
        if self.gpus_max < UNLIMITED_GPUS {
            let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
            let used: f64 = tasks.map(|task| self.gpus_in_use(task)).sum();
            if used > self.gpus_max {
                self.record_violation(&format!("the team uses {used} GPUs"));
            }
        }
        let tasks = self.workers[machine].tasks.iter();
        let used: f64 = tasks.map(|task| self.gpus_in_use(task)).sum();
        if used > MACHINE_GPUS {
            self.record_violation(&format!("{machine} uses {used} GPUs"));
        }
    }

    /// Returns the number of GPUs that a task uses in its current state.
    fn gpus_in_use(&self, (id, task): (&String, &WorkerTask)) -> f64 {
        match task.state {
            TaskState::Exited => 0.0,
            _ => self.jobs[job_of(id)].gpus,
        }
    }

    /// Checks the invariants for a transaction that is about to be applied: a final record marks a
    /// job as done only after the job's tasks have completed, the state in a final record never
    /// changes, and no round starts tasks of a job whose cancellation is durable.
    pub(super) fn check_writes(&mut self, transaction: &Transaction) {
        for mutation in &transaction.mutations {
            let Mutation::Put { key, value, .. } = mutation else {
                continue;
            };
            if key.starts_with(records::ROUND_PREFIX) {
                self.check_round(value);
            }
            if let Some(job) = key.strip_prefix("final/") {
                self.check_final_record(job, value);
            }
        }
    }

    /// Checks that a round record starts no task of a cancelled job.
    fn check_round(&mut self, value: &rmpv::Value) {
        let round = records::from_value::<RoundRecord>(value.clone());
        for start in round.into_iter().flat_map(|round| round.starts) {
            let job = start.job;
            if self.cancelled.contains_key(&job) {
                self.record_violation(&format!("a round starts tasks of the cancelled {job}"));
            }
        }
    }

    /// Checks a job's new final record against the previous one and against the completed tasks. A
    /// gang may be done as soon as one of its tasks has completed.
    fn check_final_record(&mut self, job: &str, value: &rmpv::Value) {
        let state = records::decode_final(value.clone()).map(|record| record.state);
        let previous_state = self.final_state(job);
        if previous_state.is_some() && previous_state != state {
            self.record_violation(&format!("{job} goes from {previous_state:?} to {state:?}"));
        }
        let required = match self.jobs[job].kind {
            JobKind::Gang => 1,
            _ => self.jobs[job].tasks,
        };
        let completed = self.completed_tasks_of(job) as u64;
        if state == Some(JobState::Done) && completed < required {
            self.record_violation(&format!(
                "{job} is recorded as done before its tasks completed"
            ));
        }
    }
}
