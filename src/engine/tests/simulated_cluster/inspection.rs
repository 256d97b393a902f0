//! Accessors with which tests inspect records, tasks and machines.

use super::{SimulatedCluster, Worker, WorkerTask};
use crate::engine::records::{self, JobRecord};
use crate::wire::user::JobState;
use crate::wire::worker::{Heartbeat, TaskState};
use std::collections::BTreeSet;

/// Reports whether a task id belongs to a job.
fn is_task_of(task: &str, job: &str) -> bool {
    let index = task.strip_prefix(job);
    index.is_some_and(|index| index.starts_with('/'))
}

impl SimulatedCluster {
    /// Returns a job's live record.
    pub(crate) fn live_record(&self, id: &str) -> Option<JobRecord> {
        records::decode_job(self.store.value(&records::job_key(id))?.clone())
    }

    /// Reports whether a job has a live record, so that a user can still cancel the job.
    pub(crate) fn has_live_record(&self, id: &str) -> bool {
        self.store.value(&records::job_key(id)).is_some()
    }

    /// Returns the state in a job's final record, if it has one.
    pub(crate) fn final_state(&self, id: &str) -> Option<JobState> {
        let value = self.store.value(&records::final_key(id))?;
        Some(records::decode_final(value.clone())?.state)
    }

    /// Reports whether a job has completed.
    pub(crate) fn is_done(&self, id: &str) -> bool {
        self.final_state(id) == Some(JobState::Done)
    }

    /// Returns the number of keys with a prefix in the state service.
    pub(crate) fn count_keys(&self, prefix: &str) -> usize {
        self.store.count_keys(prefix)
    }

    /// Returns the number of running tasks of a job on all machines.
    pub(crate) fn running_tasks(&self, id: &str) -> usize {
        let is_running = |(task, state): &(&String, &WorkerTask)| {
            is_task_of(task, id) && state.state == TaskState::Running
        };
        let count_running = |worker: &Worker| worker.tasks.iter().filter(is_running).count();
        self.workers.values().map(count_running).sum()
    }

    /// Returns the number of running tasks of all jobs, except those on hung machines.
    pub(crate) fn all_running_tasks(&self) -> usize {
        self.running_tasks_of_jobs("run-")
    }

    /// Returns the number of running tasks whose job id starts with `prefix`, except those on hung
    /// machines.
    pub(crate) fn running_tasks_of_jobs(&self, prefix: &str) -> usize {
        let responds = |name: &&String| !self.faults.hung_machines.contains(*name);
        let workers = self.workers.keys().filter(responds);
        let tasks = workers.flat_map(|name| &self.workers[name].tasks);
        let running =
            tasks.filter(|(id, task)| id.starts_with(prefix) && task.state == TaskState::Running);
        running.count()
    }

    /// Returns the first machine, by name, that has a task of the job in any state.
    pub(crate) fn first_machine_of_job(&self, id: &str) -> Option<String> {
        let has_task = |worker: &Worker| worker.tasks.keys().any(|task| is_task_of(task, id));
        let mut machines = self.workers.iter();
        let machine = machines.find(|(_, worker)| has_task(worker));
        machine.map(|(name, _)| name.clone())
    }

    /// Returns the machines that have at least one task in any state.
    pub(crate) fn busy_machines(&self) -> BTreeSet<String> {
        let workers = self.workers.iter();
        let busy = workers.filter(|(_, worker)| !worker.tasks.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Returns all heartbeats that a machine has sent so far, oldest first.
    pub(crate) fn heartbeats_of(&self, machine: &str) -> Vec<Heartbeat> {
        self.workers[machine].sent_heartbeats.clone()
    }

    /// Returns the jobs with at least one task that is neither running nor completed, except jobs
    /// that are done or cancelled.
    pub(crate) fn waiting_jobs(&self) -> Vec<String> {
        let is_open = |id: &&String| !self.cancelled.contains_key(*id) && !self.is_done(id);
        let lacks_tasks = |id: &&String| {
            let tasks = self.running_tasks(id) + self.completed_tasks_of(id);
            (tasks as u64) < self.jobs[*id].tasks
        };
        let jobs = self.jobs.keys().filter(is_open).filter(lacks_tasks);
        jobs.cloned().collect()
    }

    /// Returns the number of completed tasks of a job.
    pub(super) fn completed_tasks_of(&self, id: &str) -> usize {
        let tasks = self.completed_tasks.iter();
        tasks.filter(|task| is_task_of(task, id)).count()
    }

    /// Describes the leader, the returned machines, and all workers with their tasks, for assertion
    /// messages.
    pub(crate) fn describe(&self) -> String {
        let workers = self.workers.iter();
        let lines: Vec<String> = workers
            .map(|(name, worker)| worker.describe(name))
            .collect();
        format!(
            "leader {:?}, returned {:?}\n{}",
            self.leader(),
            self.returned_machines,
            lines.join("\n")
        )
    }
}
