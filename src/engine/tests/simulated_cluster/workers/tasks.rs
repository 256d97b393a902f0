//! The life cycle of tasks on workers.

use super::super::invariants::CANCELLATION_LIMIT;
use super::super::{Faults, Millis, SimulatedCluster};
use super::{WORKER_LEASE, Worker, job_of};
use crate::wire::user::{JobKind, JobSubmission};
use crate::wire::worker::{ExitReason, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Time to fetch an image that is not in the machine's cache.
const IMAGE_FETCH_TIME: Millis = 8_000;

/// How the workers fetch images and begin gangs.
#[derive(Default)]
pub(crate) struct WorkerConditions {
    /// Time to fetch an image on machines that differ from the others, by name of the machine.
    pub(crate) fetch_times: BTreeMap<String, Millis>,
    /// Time after which a task that waits for its gang exits. If it is `None`, the tasks of a gang
    /// do not wait for each other.
    pub(crate) gang_timeout: Option<Millis>,
}

/// A task on a worker.
#[derive(Clone)]
pub(crate) struct WorkerTask {
    /// The attempt number given by the leader.
    pub(crate) attempt: u64,
    /// The time at which the task entered its current state.
    state_since: Millis,
    /// The current state.
    pub(crate) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) stopping: bool,
    /// Whether a checkpoint was saved when the task was stopped; `None` if none was attempted.
    pub(super) checkpoint_saved: Option<bool>,
}

/// The conditions on which a task's state transitions depend.
struct TaskContext<'a> {
    now: Millis,
    job: &'a JobSubmission,
    faults: &'a Faults,
    machine_fails: bool,
    image_cached: bool,
    /// Time that the machine takes to fetch an image.
    fetch_time: Millis,
    /// Time after which a task that waits for its gang exits, see [`WorkerConditions`].
    gang_timeout: Option<Millis>,
    /// Time for which the task runs; 0 means until it is stopped.
    run_time: Millis,
}

/// Converts seconds to whole milliseconds, rounding down.
fn secs_to_millis(seconds: f64) -> Millis {
    (seconds * 1000.0) as Millis
}

impl TaskContext<'_> {
    /// Returns the time that saving a checkpoint takes.
    fn checkpoint_time(&self) -> Millis {
        secs_to_millis(self.job.checkpoint_cost_s)
    }
}

impl WorkerTask {
    /// Creates a task that starts by fetching its image.
    pub(super) fn fetching(attempt: u64, now: Millis) -> WorkerTask {
        WorkerTask::new(TaskState::Fetching, attempt, now)
    }

    /// Creates a task that is already running.
    pub(super) fn running(attempt: u64, now: Millis) -> WorkerTask {
        WorkerTask::new(TaskState::Running, attempt, now)
    }

    fn new(state: TaskState, attempt: u64, now: Millis) -> WorkerTask {
        WorkerTask {
            attempt,
            state_since: now,
            state,
            exit_reason: None,
            stopping: false,
            checkpoint_saved: None,
        }
    }

    fn enter_state(&mut self, state: TaskState, now: Millis) {
        self.state = state;
        self.state_since = now;
    }

    fn exit(&mut self, reason: ExitReason) {
        self.state = TaskState::Exited;
        self.exit_reason = Some(reason);
    }

    /// Enters the next state if the time for it has come.
    fn advance(&mut self, context: &TaskContext) {
        if self.stopping {
            return self.advance_stop(context);
        }
        let now = context.now;
        match self.state {
            TaskState::Fetching if self.has_image(context) => self.finish_fetch(context),
            TaskState::WaitingForGang => self.advance_gang_wait(context),
            TaskState::Running
                if context.run_time > 0 && now >= self.state_since + context.run_time =>
            {
                self.exit(ExitReason::Completed);
            }
            _ => {}
        }
    }

    /// Ends the wait for the gang, if its time is over. If gangs have a timeout, a gang begins in
    /// [`SimulatedCluster::begin_complete_gangs`] and not here.
    fn advance_gang_wait(&mut self, context: &TaskContext) {
        match context.gang_timeout {
            Some(timeout) if context.now >= self.state_since + timeout => {
                self.exit(ExitReason::GangIncomplete);
            }
            None if context.now >= self.state_since + context.faults.gang_wait => {
                self.enter_state(TaskState::Running, context.now);
            }
            _ => {}
        }
    }

    /// Advances a task that is being stopped: it exits, after saving a checkpoint if it was running
    /// and [`Faults::save_checkpoints`] is set.
    fn advance_stop(&mut self, context: &TaskContext) {
        match self.state {
            TaskState::Running if context.faults.save_checkpoints => {
                self.enter_state(TaskState::Checkpointing, context.now);
            }
            TaskState::Checkpointing => {
                if context.now >= self.state_since + context.checkpoint_time() {
                    self.exit(ExitReason::Stopped);
                    self.checkpoint_saved = Some(true);
                }
            }
            _ => self.exit(ExitReason::Stopped),
        }
    }

    fn has_image(&self, context: &TaskContext) -> bool {
        context.image_cached || context.now >= self.state_since + context.fetch_time
    }

    /// Ends the fetching of the image: the task exits if a fault makes it exit, otherwise it waits
    /// for its gang or runs.
    fn finish_fetch(&mut self, context: &TaskContext) {
        let (job, faults) = (context.job, context.faults);
        self.enter_state(TaskState::Running, context.now);
        if context.machine_fails || faults.failing_jobs.contains(&job.id) {
            self.exit(ExitReason::Failed);
        } else if let Some(reason) = faults.forced_exits.get(&job.id) {
            self.exit(*reason);
        } else if job.kind == JobKind::Gang
            && (faults.gang_wait > 0 || context.gang_timeout.is_some())
        {
            self.state = TaskState::WaitingForGang;
        }
    }

    /// Returns the time of the task's next state transition that needs no command, if there is one.
    fn next_change_at(&self, context: &TaskContext) -> Option<Millis> {
        let duration = match self.state {
            TaskState::Fetching => context.fetch_time,
            TaskState::WaitingForGang => context.gang_timeout.unwrap_or(context.faults.gang_wait),
            TaskState::Checkpointing => context.checkpoint_time(),
            TaskState::Running if context.run_time > 0 => context.run_time,
            _ => return None,
        };
        Some(self.state_since + duration)
    }
}

/// The parts of the cluster, other than the worker, on which the progress of tasks depends.
struct TaskEnvironment<'a> {
    now: Millis,
    jobs: &'a BTreeMap<String, JobSubmission>,
    faults: &'a Faults,
    extra_run_time: &'a BTreeMap<String, Millis>,
    conditions: &'a WorkerConditions,
}

impl Worker {
    /// Restarts the worker if its lease has expired. Sets the time of the next change to the expiry
    /// of the lease that it had before.
    fn expire_lease(&mut self, now: Millis) {
        self.next_change_at = self.lease_started_at() + WORKER_LEASE + 1;
        let since_lease_start = now.saturating_sub(self.lease_started_at());
        if now >= self.booted_at && since_lease_start > WORKER_LEASE {
            self.restart(now);
        }
    }

    /// Advances the worker's tasks and adds those that complete to `completed_tasks`.
    fn advance_tasks(
        &mut self,
        machine: &str,
        environment: &TaskEnvironment,
        completed_tasks: &mut BTreeSet<String>,
    ) {
        let machine_fails = environment.faults.failing_machines.contains(machine);
        let conditions = environment.conditions;
        let fetch_time = conditions.fetch_times.get(machine).copied();
        for (id, task) in &mut self.tasks {
            if task.state == TaskState::Exited {
                continue;
            }
            let job = &environment.jobs[job_of(id)];
            let extra = environment.extra_run_time.get(id).copied().unwrap_or(0);
            let context = TaskContext {
                now: environment.now,
                job,
                faults: environment.faults,
                machine_fails,
                image_cached: self.cached_images.contains(&job.image),
                fetch_time: fetch_time.unwrap_or(IMAGE_FETCH_TIME),
                gang_timeout: conditions.gang_timeout,
                run_time: secs_to_millis(job.expected_duration_s) + extra,
            };
            let previous_state = task.state;
            task.advance(&context);
            if previous_state == TaskState::Fetching
                && task.state != previous_state
                && !task.stopping
            {
                self.cached_images.insert(job.image.clone());
            }
            if previous_state == TaskState::Running
                && task.exit_reason == Some(ExitReason::Completed)
            {
                completed_tasks.insert(id.clone());
            }
            if let Some(at) = task.next_change_at(&context) {
                self.next_change_at = self.next_change_at.min(at);
            }
        }
    }
}

impl SimulatedCluster {
    /// Advances the tasks on all workers that are not hung, and records a violation for each task
    /// that has not exited [`CANCELLATION_LIMIT`] after its job was cancelled.
    pub(in super::super) fn advance_tasks(&mut self) {
        let now = self.now;
        let mut cancellations = self.cancelled.values();
        let any_overdue = cancellations.any(|at| now > at + CANCELLATION_LIMIT);
        let environment = TaskEnvironment {
            now,
            jobs: &self.jobs,
            faults: &self.faults,
            extra_run_time: &self.extra_run_time,
            conditions: &self.worker_conditions,
        };
        for (machine, worker) in &mut self.workers {
            let needs_update = now >= worker.next_change_at || any_overdue;
            if !needs_update || self.faults.hung_machines.contains(machine) {
                continue;
            }
            worker.expire_lease(now);
            worker.advance_tasks(machine, &environment, &mut self.completed_tasks);
            for (id, task) in &worker.tasks {
                let cancelled_at = self.cancelled.get(job_of(id));
                let overdue = cancelled_at.is_some_and(|at| now > at + CANCELLATION_LIMIT);
                if overdue && task.state != TaskState::Exited {
                    let violation = format!("{now}: {id} still runs after its job was cancelled");
                    self.violations.push(violation);
                }
            }
        }
        if self.worker_conditions.gang_timeout.is_some() {
            self.begin_complete_gangs();
        }
    }

    /// Lets the gangs begin of which all tasks wait with the same attempt. Tasks on hung machines
    /// do not count.
    fn begin_complete_gangs(&mut self) {
        let now = self.now;
        let mut waiting: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for (machine, worker) in &self.workers {
            if self.faults.hung_machines.contains(machine) {
                continue;
            }
            for (id, task) in &worker.tasks {
                if task.state == TaskState::WaitingForGang && !task.stopping {
                    *waiting
                        .entry((job_of(id).into(), task.attempt))
                        .or_default() += 1;
                }
            }
        }
        waiting.retain(|(job, _), tasks| *tasks == self.jobs[job].tasks);
        if waiting.is_empty() {
            return;
        }
        for worker in self.workers.values_mut() {
            for (id, task) in &mut worker.tasks {
                let gang = (job_of(id).to_owned(), task.attempt);
                if task.state == TaskState::WaitingForGang && waiting.contains_key(&gang) {
                    task.enter_state(TaskState::Running, now);
                    worker.next_change_at = 0;
                }
            }
        }
    }
}
