//! The simulated workers.

mod commands;
mod heartbeats;
mod tasks;

pub(crate) use tasks::WorkerTask;

use super::{Millis, SimulatedCluster};
use crate::wire::worker::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// The GPUs of a machine.
pub(super) const MACHINE_GPUS: f64 = 4.0;
/// From renting a machine to the first heartbeat of its worker.
pub(super) const BOOT_TIME: Millis = 20_000;
/// A worker without a reply for longer stops its tasks.
const WORKER_LEASE: Millis = 17_000;

/// The name of the machine of that number.
pub(super) fn machine_name(number: u64) -> String {
    format!("host-{number:06}")
}

/// The job of a task.
pub(super) fn job_of(task: &str) -> &str {
    task.rsplit_once('/').unwrap().0
}

/// A worker on its machine.
pub(crate) struct Worker {
    pub(super) zone: String,
    /// The node that it reports to.
    pub(crate) node: usize,
    /// When the machine has booted.
    pub(super) booted_at: Millis,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    last_sent_at: Millis,
    pub(super) next_heartbeat_at: Millis,
    /// When a higher fencing token last made it send a heartbeat early.
    last_early_heartbeat_at: Option<Millis>,
    /// When it sent the last heartbeat that the leader accepted.
    last_accepted_at: Millis,
    awaits_reply: bool,
    /// Its tasks by their ids.
    pub(crate) tasks: BTreeMap<String, WorkerTask>,
    cached_images: BTreeSet<String>,
    /// Nothing changes on it by itself before.
    next_change_at: Millis,
    /// Heartbeats as sent, for late copies.
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

    /// When its lease began for the last time.
    fn lease_started_at(&self) -> Millis {
        self.last_accepted_at.max(self.booted_at)
    }

    /// Goes on without its tasks, in a new incarnation.
    fn restart(&mut self, now: Millis) {
        self.incarnation += 1;
        self.last_accepted_at = now;
        self.tasks.clear();
    }

    /// Worker and tasks in one line.
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
    /// The worker loses its tasks and goes on in a new incarnation at once.
    pub(crate) fn restart_worker(&mut self, machine: &str) {
        let worker = self.workers.get_mut(machine).unwrap();
        worker.restart(self.now);
        worker.next_change_at = 0;
    }

    /// Puts a running task on a machine that no leader started there.
    pub(crate) fn inject_task(&mut self, machine: &str, task: &str) {
        let worker = self.workers.get_mut(machine).unwrap();
        let injected = WorkerTask::running(1, self.now);
        worker.tasks.insert(task.into(), injected);
        worker.next_change_at = 0;
    }
}
