//! Stops tasks, and sends commands to workers directly, without waiting for their heartbeats.

use super::Engine;
use super::outbox::Outbox;
use crate::model::{JobId, Machine, MachineId, Placement, TaskId};
use crate::wire::worker::{DirectCommands, WorkerCommand};
use std::collections::BTreeMap;

impl Engine {
    /// Requests that a task write a checkpoint and stop. If the job is a gang, stops all its tasks.
    pub(super) fn stop_task(&mut self, task: &TaskId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = job.spec.checkpoint_grace_s();
        if job.is_gang() {
            job.stop_all_tasks(grace_s, now);
        } else if let Some(placement) = job.placements.get_mut(&task.index) {
            placement.request_stop(grace_s, now);
        }
        self.send_stop_commands(&task.job);
    }

    /// Stops the remaining tasks of a gang that has lost a task. The stop commands are sent at
    /// once, even to tasks that have noticed the loss themselves, and leave the grace period for a
    /// checkpoint.
    pub(super) fn stop_rest_of_gang(&mut self, id: &JobId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let has_no_stop_request = |placement: &Placement| placement.stop_request.is_none();
        if job.is_gang() && job.is_open() && job.placements.values().any(has_no_stop_request) {
            let (placed, fetching) = (job.placements.len(), job.fetching_tasks());
            tracing::info!(job = %id, placed, fetching, "gang lost a task, stopping the rest");
            job.stop_all_tasks(job.spec.checkpoint_grace_s(), now);
            self.send_stop_commands(id);
        }
    }

    /// Carries out the stop requests of a job's tasks without waiting for the heartbeats of their
    /// machines: sends the stop commands directly, and removes the tasks that have exited already.
    pub(super) fn send_stop_commands(&mut self, id: &JobId) {
        self.remove_stopped_exited_tasks(id);
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let mut stops: BTreeMap<&MachineId, Vec<WorkerCommand>> = BTreeMap::new();
        for (index, placement) in &job.placements {
            let Some(stop) = placement.stop_request else {
                continue;
            };
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let command = WorkerCommand::Stop {
                task: task.to_string(),
                attempt: placement.attempt,
                grace_s: stop.grace_s,
            };
            stops.entry(&placement.machine).or_default().push(command);
        }
        for (machine, commands) in stops {
            if let Some(machine) = leader.machines.get_mut(machine) {
                send_directly(&mut self.outbox, machine, commands);
            }
        }
    }

    /// Requests an immediate heartbeat from a machine, so that task starts written for the machine
    /// need not wait for its next regular heartbeat. Does nothing if a response to the machine is
    /// pending, because the starts are sent with that response.
    ///
    /// A worker sends a heartbeat when it receives a higher fencing token. Requests are limited to
    /// two per worker lease. The message contains no command, so a late or repeated delivery does
    /// no harm; a start command sent directly would not be safe in that way.
    pub(super) fn request_heartbeat(&mut self, id: &MachineId) {
        let now = self.context.now();
        let min_interval = self.context.timing().worker_lease / 2;
        if self.pending_responses.has_response_for(id) {
            return;
        }
        let leader = self.leadership.leader_mut();
        let Some(machine) = leader.and_then(|leader| leader.machines.get_mut(id)) else {
            return;
        };
        let requested_at = machine.heartbeat_requested_at;
        if requested_at.is_some_and(|requested_at| now < requested_at + min_interval) {
            return;
        }
        machine.heartbeat_requested_at = Some(now);
        machine.fencing_token = machine.fencing_token.next();
        send_directly(&mut self.outbox, machine, Vec::new());
    }
}

/// Sends commands directly to a machine if its address is known.
fn send_directly(outbox: &mut Outbox, machine: &mut Machine, commands: Vec<WorkerCommand>) {
    let Some(address) = machine.address else {
        return;
    };
    machine.direct_commands += 1;
    let commands = DirectCommands {
        fencing_token: machine.fencing_token.0,
        incarnation: machine.heartbeat_sequence.incarnation,
        commands,
    };
    outbox.send_commands(address, commands);
}
