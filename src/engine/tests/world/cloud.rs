//! The simulated cloud.

use super::*;

impl World {
    pub(super) fn cloud_call(&mut self, call: CloudCall) -> Result<CloudReply, CloudError> {
        if self.faults.cloud_down {
            return Err(CloudError::Failed("trouble".into()));
        }
        match call {
            CloudCall::ListMachineTypes => Ok(CloudReply::MachineTypes(wc::MachineTypeList {
                machine_types: vec![wc::MachineType {
                    name: "g8".into(),
                    cpus: 16.0,
                    gpus: 4.0,
                    memory_gb: 64.0,
                    cache_gb: 100.0,
                    fetch_gb_per_s: 0.4,
                    price: 4.0,
                    spot_price: 1.0,
                    boot_s: 20.0,
                    zones: vec!["east".into(), "west".into()],
                }],
            })),
            CloudCall::Rent(rent) => {
                if let Some(names) = self.requests.get(&rent.request_id) {
                    return Ok(CloudReply::Rented(names.clone()));
                }
                let there = self.workers.values().filter(|w| w.zone == rent.zone);
                let left = match self.faults.capacity {
                    Some(most) => (most as u64).saturating_sub(there.count() as u64),
                    None => rent.count,
                };
                if left == 0 {
                    return Err(CloudError::NoCapacity);
                }
                let mut names = Vec::new();
                for _ in 0..rent.count.min(left) {
                    let name = format!("host-{:06}", self.rented);
                    self.rented += 1;
                    // Workers know all nodes and begin with any.
                    let any = self.rented as usize % self.nodes.len();
                    let node = self.first_node.unwrap_or(any);
                    self.workers
                        .insert(name.clone(), Worker::new(&rent.zone, node, self.now + BOOT));
                    self.send_in(&name, BOOT);
                    names.push(name);
                }
                self.requests.insert(rent.request_id, names.clone());
                Ok(CloudReply::Rented(names))
            }
            CloudCall::Return(names) => {
                for name in names {
                    self.workers.remove(&name);
                    self.returned.push(name);
                }
                Ok(CloudReply::Returned)
            }
            CloudCall::ListMachines { after } => {
                let now = self.now;
                self.listed_pages += 1;
                let mut after = after.unwrap_or_default();
                if self.faults.list == ListFault::Repeats {
                    after.clear();
                }
                let listed = |(id, w): (&String, &Worker)| wc::ListedMachine {
                    id: id.clone(),
                    machine_type: "g8".into(),
                    zone: w.zone.clone(),
                    spot: false,
                    state: wc::MachineState::Running,
                    age_s: (now + BOOT).saturating_sub(w.up_at) as f64 / 1000.0,
                };
                let mut rest = self.workers.iter().filter(|(id, _)| **id > after);
                let machines = rest
                    .by_ref()
                    .take(constants::MACHINE_LIST_PAGE_ITEMS as usize);
                let mut machines: Vec<wc::ListedMachine> = machines.map(listed).collect();
                let mut more = rest.next().is_some();
                match self.faults.list {
                    ListFault::None => {}
                    ListFault::Repeats => more = true,
                    ListFault::Endless => {
                        more = true;
                        machines.push(wc::ListedMachine {
                            id: format!("host-x{:06}", self.listed_pages),
                            machine_type: "g8".into(),
                            zone: "east".into(),
                            spot: false,
                            state: wc::MachineState::Booting,
                            age_s: 1.0,
                        });
                    }
                    ListFault::Doubled => machines.extend_from_within(..),
                }
                machines.sort_by(|a, b| a.id.cmp(&b.id));
                Ok(CloudReply::MachinePage(wc::MachinePage {
                    machines,
                    has_more: more,
                }))
            }
        }
    }
}
