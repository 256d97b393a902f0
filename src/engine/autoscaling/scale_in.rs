//! Scaling in: returns machines to the cloud, and takes the cloud's response as proof that their
//! tasks are gone.

use super::MachineOffer;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::Engine;
use crate::engine::messages::PendingCall;
use crate::model::{Machine, MachineId, MachinePhase};

impl Engine {
    /// Requests the return of the machines that are marked as returning. The machines and
    /// everything on them are gone only once the cloud confirms the return; until then their tasks
    /// count as running.
    pub(super) fn scale_in(&mut self) {
        let lease_valid = self.holds_valid_lease();
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if !lease_valid || !leader.autoscaling.returns.is_due(now) {
            return;
        }
        let is_returning = |machine: &&Machine| machine.phase == MachinePhase::Returning;
        let machines: Vec<MachineId> = leader
            .machines
            .values()
            .filter(is_returning)
            .take(constants::MAX_MACHINES_PER_RETURN)
            .map(|machine| machine.id.clone())
            .collect();
        if !machines.is_empty() {
            leader.autoscaling.returns.begin();
            let names = machines.iter().map(ToString::to_string).collect();
            let pending = PendingCall::ReturnMachines(machines);
            self.outbox.call_cloud(pending, CloudCall::Return(names));
        }
    }

    /// Handles the outcome of a return call. After a success the machines are removed and their
    /// tasks are handled as lost.
    pub(in crate::engine) fn on_machines_returned(
        &mut self,
        machines: Vec<MachineId>,
        result: Result<CloudReply, CloudError>,
    ) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let returns = &mut leader.autoscaling.returns;
        if let Err(error) = result {
            tracing::info!(%error, "return failed");
            return returns.record_failure(&mut self.context);
        }
        returns.record_success(self.context.now());
        leader.scheduling.request();
        let mut lost_tasks = Vec::new();
        for id in machines {
            if let Some(machine) = leader.machines.remove(&id) {
                // A machine that was returned can be rented again, so its offer may be requested.
                leader.autoscaling.refusals.clear(&MachineOffer {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                });
                lost_tasks.extend(machine.tasks);
            }
            leader.record_returned(id);
        }
        for task in lost_tasks {
            tracing::info!(%task, "task lost with its machine");
            self.handle_lost_task(&task);
        }
    }
}
