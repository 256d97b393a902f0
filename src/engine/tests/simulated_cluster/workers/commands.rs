//! Commands to the workers, received in heartbeat responses or as direct commands.

use super::super::events::Event;
use super::super::{Millis, SimulatedCluster};
use super::heartbeats::MIN_HEARTBEAT_INTERVAL;
use super::{Worker, WorkerTask, job_of};
use crate::wire::worker::{DirectCommands, TaskState, WorkerCommand};

/// Time between two attempts to deliver direct commands to a hung machine.
const HUNG_RETRY_INTERVAL: Millis = 100;

impl Worker {
    /// Starts stopping a task, if the attempt matches.
    fn stop_task(&mut self, id: &str, attempt: u64) {
        let task = self.tasks.get_mut(id);
        if let Some(task) = task.filter(|task| task.attempt == attempt) {
            task.stopping = true;
            self.next_change_at = 0;
        }
    }

    /// Removes a task that has exited, if the attempt matches.
    fn forget_task(&mut self, id: &str, attempt: u64) {
        let is_exited_attempt =
            |task: &WorkerTask| task.attempt == attempt && task.state == TaskState::Exited;
        if self.tasks.get(id).is_some_and(is_exited_attempt) {
            self.tasks.remove(id);
        }
    }
}

impl SimulatedCluster {
    /// Handles direct commands that arrive at a worker. The worker ignores commands that name
    /// another incarnation, and commands with a lower fencing token than the highest one that the
    /// worker has received, because they come from an earlier leader.
    pub(in super::super) fn receive_direct_commands(
        &mut self,
        machine: String,
        direct: DirectCommands,
    ) {
        let faults = &self.faults;
        if faults.lose_direct_commands
            || faults.machines_without_replies.contains(&machine)
            || faults.unreachable_machines.contains(&machine)
        {
            return;
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        // A hung machine executes the commands once it resumes.
        if faults.hung_machines.contains(&machine) {
            let event = Event::DirectCommands { machine, direct };
            return self.schedule(HUNG_RETRY_INTERVAL, event);
        }
        let stale = direct.fencing_token < worker.fencing_token;
        if stale || direct.incarnation != worker.incarnation {
            return;
        }
        let new_leader = direct.fencing_token > worker.fencing_token;
        worker.fencing_token = direct.fencing_token;
        worker.sequence += 1;
        // The worker reports a higher fencing token as early as the minimum heartbeat interval
        // allows.
        if new_leader && worker.claim_early_heartbeat(self.now) && !worker.awaits_reply {
            let earliest = worker.last_sent_at + MIN_HEARTBEAT_INTERVAL;
            let delay = earliest.saturating_sub(self.now);
            self.schedule_heartbeat(&machine, delay);
        }
        self.execute(&machine, &direct.commands);
    }

    /// Lets a worker execute commands.
    pub(super) fn execute(&mut self, machine: &str, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    self.start_task(machine, task, *attempt);
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    if let Some(worker) = self.workers.get_mut(machine) {
                        worker.stop_task(task, *attempt);
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    if let Some(worker) = self.workers.get_mut(machine) {
                        worker.forget_task(task, *attempt);
                    }
                }
            }
        }
        self.advance_tasks();
    }

    /// Starts a task on a worker, unless the worker already has the same attempt.
    fn start_task(&mut self, machine: &str, id: &str, attempt: u64) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let task = worker.tasks.get(id);
        if task.is_some_and(|task| task.attempt == attempt) {
            return;
        }
        let started = WorkerTask::fetching(attempt, self.now);
        worker.tasks.insert(id.into(), started);
        worker.next_change_at = 0;
        self.starts += 1;
        self.started_jobs.insert(job_of(id).into());
        let machines = self.machines_of_task.entry(id.into()).or_default();
        machines.insert(machine.into());
        self.check_start(machine, id);
    }
}
