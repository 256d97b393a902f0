//! Orders that are sent to workers directly, without waiting for their reports.

use crate::engine::{Effect, Engine, Role};
use crate::model::{JobId, Machine, MachineId, TaskId};
use crate::wire::worker::{DirectCommands, WorkerCommand};
use std::collections::BTreeMap;

impl Engine {
    /// Sends a job's stops directly, without waiting for the machines' reports.
    pub(in crate::engine) fn send_stops(&mut self, id: &JobId) {
        let Role::Leader(leader) = &mut self.role else {
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
                self.out.extend(send_directly(machine, commands));
            }
        }
    }

    /// Has a machine report at once, so that what was written for it does not wait for its next
    /// report: a worker that sees a higher token reports, though not more often than twice a lease.
    /// The order carries nothing else, so it is safe however late or often it arrives, which a
    /// start sent directly would not be.
    pub(in crate::engine) fn request_heartbeat(&mut self, id: &MachineId) {
        let (now, min_interval) = (self.now, self.timing.worker_lease / 2);
        if self
            .pending_responses
            .iter()
            .any(|answer| answer.is_for(id))
        {
            return;
        }
        let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(id)) else {
            return;
        };
        let requested = machine.heartbeat_requested_at;
        if requested.is_some_and(|at| now < at + min_interval) {
            return;
        }
        machine.heartbeat_requested_at = Some(now);
        machine.fencing_token = machine.fencing_token.next();
        let effect = send_directly(machine, Vec::new());
        self.out.extend(effect);
    }
}

/// Orders for a machine to be sent to it directly, if its address is known.
fn send_directly(machine: &mut Machine, commands: Vec<WorkerCommand>) -> Option<Effect> {
    let address = machine.address?;
    machine.direct_commands += 1;
    let commands = DirectCommands {
        fencing_token: machine.fencing_token.0,
        incarnation: machine.heartbeat_sequence.incarnation,
        commands,
    };
    Some(Effect::SendCommands { address, commands })
}
