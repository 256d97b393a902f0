//! Orders that are sent to workers directly, without waiting for their reports.

use crate::engine::{Effect, Engine, Role};
use crate::model::{JobId, Machine, MachineId, TaskId};
use crate::wire::worker::{DirectOrders, Order};
use std::collections::BTreeMap;

impl Engine {
    /// Sends a job's stops directly, without waiting for the machines' reports.
    pub(in crate::engine) fn send_stops(&mut self, id: &JobId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let mut stops: BTreeMap<&MachineId, Vec<Order>> = BTreeMap::new();
        for (index, placement) in &job.live {
            let Some(stop) = placement.stop else { continue };
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let order = Order::Stop {
                task: task.to_string(),
                attempt: placement.attempt,
                grace_s: stop.grace_s,
            };
            stops.entry(&placement.machine).or_default().push(order);
        }
        for (machine, orders) in stops {
            if let Some(machine) = leader.machines.get_mut(machine) {
                self.out.extend(order_directly(machine, orders));
            }
        }
    }

    /// Has a machine report at once, so that what was written for it does not wait for its next
    /// report: a worker that sees a higher token reports, though not more often than twice a lease.
    /// The order carries nothing else, so it is safe however late or often it arrives, which a
    /// start sent directly would not be.
    pub(in crate::engine) fn request_report(&mut self, id: &MachineId) {
        let (now, min_interval) = (self.now, self.timing.worker_lease / 2);
        if self.pending_answers.iter().any(|answer| answer.is_for(id)) {
            return;
        }
        let Some(machine) = self.leader_mut().and_then(|l| l.machines.get_mut(id)) else {
            return;
        };
        let requested = machine.report_requested;
        if requested.is_some_and(|at| now < at + min_interval) {
            return;
        }
        machine.report_requested = Some(now);
        machine.token = machine.token.next();
        let effect = order_directly(machine, Vec::new());
        self.out.extend(effect);
    }
}

/// Orders for a machine to be sent to it directly, if its address is known.
fn order_directly(machine: &mut Machine, orders: Vec<Order>) -> Option<Effect> {
    let addr = machine.addr?;
    machine.direct += 1;
    let orders = DirectOrders {
        token: machine.token.0,
        session: machine.seq_no.session,
        orders,
    };
    Some(Effect::Orders { addr, orders })
}
