//! The simulated workers and their machines.

mod commands;
mod heartbeats;
mod tasks;

pub(crate) use tasks::{WorkerConditions, WorkerTask};

use super::{Millis, SimulatedCluster};
use crate::wire::worker::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// Number of GPUs of a machine.
pub(super) const MACHINE_GPUS: f64 = 4.0;
/// Time from the rental of a machine to the first heartbeat of its worker.
pub(super) const BOOT_TIME: Millis = 20_000;
/// Duration of a worker's lease. A worker whose heartbeats the leader has not accepted for longer
/// stops its tasks.
const WORKER_LEASE: Millis = 17_000;

/// Returns the name of the machine with the given number.
pub(super) fn machine_name(number: u64) -> String {
    format!("host-{number:06}")
}

/// Returns the job id in a task id.
pub(super) fn job_of(task: &str) -> &str {
    task.rsplit_once('/').unwrap().0
}

/// A worker and the state of its machine.
pub(crate) struct Worker {
    pub(crate) zone: String,
    /// The node to which the worker sends its heartbeats.
    pub(crate) node: usize,
    /// The time at which the machine has booted, which may be in the future.
    pub(super) booted_at: Millis,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    last_sent_at: Millis,
    pub(super) next_heartbeat_at: Millis,
    /// The time at which a higher fencing token last caused an early heartbeat.
    last_early_heartbeat_at: Option<Millis>,
    /// The time at which the last heartbeat that the leader accepted was sent.
    last_accepted_at: Millis,
    /// Whether a heartbeat is in flight.
    awaits_reply: bool,
    /// The worker's tasks, by task id.
    pub(crate) tasks: BTreeMap<String, WorkerTask>,
    cached_images: BTreeSet<String>,
    /// The next time at which the lease expires or a task changes its state without a command; 0 if
    /// the worker has to be checked at once.
    next_change_at: Millis,
    /// All heartbeats sent so far, from which tests redeliver duplicates.
    pub(super) sent_heartbeats: Vec<Heartbeat>,
}

impl Worker {
    pub(super) fn new(zone: &str, node: usize, booted_at: Millis) -> Worker {
        Worker {
            zone: zone.into(),
            node,
            booted_at,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            last_sent_at: 0,
            next_heartbeat_at: 0,
            last_early_heartbeat_at: None,
            last_accepted_at: booted_at,
            awaits_reply: false,
            tasks: BTreeMap::new(),
            cached_images: BTreeSet::new(),
            next_change_at: 0,
            sent_heartbeats: Vec::new(),
        }
    }

    /// Returns the time from which the current lease counts.
    fn lease_started_at(&self) -> Millis {
        self.last_accepted_at.max(self.booted_at)
    }

    /// Drops all tasks and starts a new incarnation with a new lease.
    fn restart(&mut self, now: Millis) {
        self.incarnation += 1;
        self.last_accepted_at = now;
        self.tasks.clear();
    }

    /// Describes the worker and its tasks in one line.
    pub(super) fn describe(&self, name: &str) -> String {
        let describe_task = |(id, task): (&String, &WorkerTask)| {
            let (attempt, state, reason) = (task.attempt, task.state, task.exit_reason);
            format!("{id} attempt {attempt} {state:?} {reason:?}")
        };
        let tasks: Vec<String> = self.tasks.iter().map(describe_task).collect();
        format!(
            "{name} {} at n{} fencing token {} incarnation {}: {tasks:?}",
            self.zone, self.node, self.fencing_token, self.incarnation
        )
    }
}

impl SimulatedCluster {
    /// Restarts a worker without downtime: its tasks are lost and a new incarnation begins.
    pub(crate) fn restart_worker(&mut self, machine: &str) {
        let worker = self.workers.get_mut(machine).unwrap();
        worker.restart(self.now);
        worker.next_change_at = 0;
    }

    /// Adds a running task to a machine, although no leader has started the task there.
    pub(crate) fn inject_task(&mut self, machine: &str, task: &str) {
        let worker = self.workers.get_mut(machine).unwrap();
        let injected = WorkerTask::running(1, self.now);
        worker.tasks.insert(task.into(), injected);
        worker.next_change_at = 0;
    }
}
