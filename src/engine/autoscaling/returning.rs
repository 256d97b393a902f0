//! Returning: gives machines back to the cloud, and takes its answer as proof that their tasks
//! are returned_machines.

use super::MachineOffer;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::{Engine, PendingCall, Role};
use crate::model::{Machine, MachineId, MachinePhase};

impl Engine {
    /// Asks the cloud to take machines back. They and everything on them are gone only when it
    /// says so; until then their tasks count as running.
    pub(super) fn scale_in(&mut self) {
        let lease_valid = self.holds_valid_lease();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !lease_valid || !leader.autoscaling.returns.due(self.now) {
            return;
        }
        let returning = |m: &&Machine| m.phase == MachinePhase::Returning;
        let machines: Vec<MachineId> = leader
            .machines
            .values()
            .filter(returning)
            .take(constants::MAX_MACHINES_PER_RETURN)
            .map(|m| m.id.clone())
            .collect();
        if !machines.is_empty() {
            leader.autoscaling.returns.busy = true;
            let names = machines.iter().map(ToString::to_string).collect();
            self.call_cloud(
                PendingCall::ReturnMachines(machines),
                CloudCall::Return(names),
            );
        }
    }

    /// The outcome of a return call.
    pub(in crate::engine) fn on_returned(
        &mut self,
        machines: Vec<MachineId>,
        result: Result<CloudReply, CloudError>,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Err(why) = result {
            tracing::info!("returning failed: {why}");
            leader.autoscaling.returns.failed(now, &mut self.rng);
            return;
        }
        leader.autoscaling.returns.worked(now);
        leader.needs_scheduling = true;
        let mut lost_tasks = Vec::new();
        for id in machines {
            if let Some(machine) = leader.machines.remove(&id) {
                // What was given back can be had again.
                leader.autoscaling.refusals.remove(&MachineOffer {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                });
                lost_tasks.extend(machine.tasks);
            }
            leader.returned_machines.insert(id, ());
        }
        for task in lost_tasks {
            tracing::info!(%task, "task lost with its machine");
            self.handle_lost_task(&task);
        }
    }
}
