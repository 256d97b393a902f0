//! The simulated cloud: rentals, returns and machine lists.

use super::workers::{BOOT_TIME, MACHINE_GPUS, machine_name};
use super::{MachineListFault, Millis, SimulatedCluster, Worker};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::wire::cloud::{
    ListedMachine, MachinePage, MachineState, MachineType, MachineTypeList, RentRequest,
};

/// Name of the only machine type.
pub(super) const MACHINE_TYPE: &str = "g8";

/// Returns the description of the only machine type.
fn machine_type() -> MachineType {
    MachineType {
        name: MACHINE_TYPE.into(),
        cpus: 16.0,
        gpus: MACHINE_GPUS,
        memory_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.4,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 20.0,
        zones: vec!["east".into(), "west".into()],
    }
}

fn listed_machine(id: String, zone: &str, state: MachineState, age_s: f64) -> ListedMachine {
    ListedMachine {
        id,
        machine_type: MACHINE_TYPE.into(),
        zone: zone.into(),
        spot: false,
        state,
        age_s,
    }
}

/// Returns the entry of a worker's machine in the cloud's list. The age counts from the rental.
fn listed_worker(name: &str, worker: &Worker, now: Millis) -> ListedMachine {
    let age = (now + BOOT_TIME).saturating_sub(worker.booted_at);
    let age_s = age as f64 / 1000.0;
    listed_machine(name.into(), &worker.zone, MachineState::Running, age_s)
}

impl SimulatedCluster {
    /// Executes a call to the cloud.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::Failed`] for every call while the cloud is unavailable, and
    /// [`CloudError::NoCapacity`] for a rental in a zone without capacity.
    pub(super) fn serve_cloud_call(&mut self, call: CloudCall) -> Result<CloudReply, CloudError> {
        if self.faults.cloud_unavailable {
            return Err(CloudError::Failed("trouble".into()));
        }
        match call {
            CloudCall::ListMachineTypes => Ok(CloudReply::MachineTypes(MachineTypeList {
                machine_types: vec![machine_type()],
            })),
            CloudCall::Rent(request) => self.rent(request),
            CloudCall::Return(machines) => {
                for machine in machines {
                    self.workers.remove(&machine);
                    self.returned_machines.push(machine);
                }
                Ok(CloudReply::Returned)
            }
            CloudCall::ListMachines { after } => {
                let page = self.list_machines(after.unwrap_or_default());
                Ok(CloudReply::MachinePage(page))
            }
        }
    }

    /// Rents the requested machines, limited by the zone's capacity. A repeated request returns the
    /// machines of its first execution.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::NoCapacity`] if the zone has no capacity left.
    fn rent(&mut self, request: RentRequest) -> Result<CloudReply, CloudError> {
        if let Some(names) = self.rent_requests.get(&request.request_id) {
            return Ok(CloudReply::Rented(names.clone()));
        }
        let workers = self.workers.values();
        let rented = workers.filter(|worker| worker.zone == request.zone).count();
        let available = match self.faults.zone_capacity {
            Some(capacity) => (capacity as u64).saturating_sub(rented as u64),
            None => request.count,
        };
        if available == 0 {
            return Err(CloudError::NoCapacity);
        }
        let mut names = Vec::new();
        for _ in 0..request.count.min(available) {
            names.push(self.boot_machine(&request.zone));
        }
        self.rent_requests.insert(request.request_id, names.clone());
        Ok(CloudReply::Rented(names))
    }

    /// Adds a machine that is booting, and returns its name.
    fn boot_machine(&mut self, zone: &str) -> String {
        let name = machine_name(self.machines_rented);
        self.machines_rented += 1;
        // Workers know the addresses of all nodes and may send the first heartbeat to any node.
        let any_node = self.machines_rented as usize % self.nodes.len();
        let node = self.initial_node.unwrap_or(any_node);
        let worker = Worker::new(zone, node, self.now + BOOT_TIME);
        self.workers.insert(name.clone(), worker);
        self.schedule_heartbeat(&name, BOOT_TIME);
        name
    }

    /// Returns a page of the machine list, altered by the fault that is in effect.
    fn list_machines(&mut self, after: String) -> MachinePage {
        self.listed_pages += 1;
        let after = match self.faults.machine_list {
            MachineListFault::FirstPageRepeated => String::new(),
            _ => after,
        };
        let mut remaining = self.workers.iter().filter(|(name, _)| **name > after);
        let workers = remaining
            .by_ref()
            .take(constants::MACHINE_LIST_PAGE_ITEMS as usize);
        let mut machines: Vec<ListedMachine> = workers
            .map(|(name, worker)| listed_worker(name, worker, self.now))
            .collect();
        let mut has_more = remaining.next().is_some();
        match self.faults.machine_list {
            MachineListFault::None => {}
            MachineListFault::FirstPageRepeated => has_more = true,
            MachineListFault::Endless => {
                has_more = true;
                let id = format!("host-x{:06}", self.listed_pages);
                machines.push(listed_machine(id, "east", MachineState::Booting, 1.0));
            }
            MachineListFault::DuplicateEntries => machines.extend_from_within(..),
        }
        machines.sort_by(|left, right| left.id.cmp(&right.id));
        MachinePage { machines, has_more }
    }
}
