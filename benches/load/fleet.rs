//! The fleet of simulated machines that the cloud rents and lists. Each machine has a worker.

use crate::machine::Machine;
use crate::process::NodeAddress;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::cloud::{MachinePage, RentRequest};

/// The size of the fleet.
pub(crate) struct FleetSize {
    /// Number of rented machines.
    pub(crate) machines: usize,
    /// Number of running tasks on these machines.
    pub(crate) running_tasks: usize,
}

/// All machines with their workers.
pub(crate) struct Fleet {
    machines: Mutex<BTreeMap<String, Machine>>,
    /// Wakes the workers after direct commands, since their next heartbeat may be due earlier.
    pub(crate) direct_commands_received: Notify,
    /// Maximum number of machines that the cloud rents.
    capacity: AtomicUsize,
    rented_count: AtomicU64,
    /// Number of heartbeats that were answered with 200.
    pub(crate) heartbeats: AtomicU64,
    pub(crate) nodes: Vec<NodeAddress>,
    /// Time between two heartbeats of a worker without commands or changed tasks.
    pub(crate) heartbeat_interval: Duration,
}

impl Fleet {
    /// Creates a fleet without machines or capacity, whose workers send heartbeats to `nodes`.
    pub(crate) fn new(heartbeat_interval: Duration, nodes: Vec<NodeAddress>) -> Arc<Fleet> {
        Arc::new(Fleet {
            machines: Mutex::default(),
            direct_commands_received: Notify::new(),
            capacity: AtomicUsize::new(0),
            rented_count: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            nodes,
            heartbeat_interval,
        })
    }

    /// Locks and returns all machines by name.
    pub(crate) fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the number of heartbeats that have been answered with 200.
    pub(crate) fn heartbeats(&self) -> u64 {
        self.heartbeats.load(Ordering::Relaxed)
    }

    /// Sets the maximum number of machines that the cloud rents.
    pub(crate) fn set_capacity(&self, machines: usize) {
        self.capacity.store(machines, Ordering::Relaxed);
    }

    /// Returns the number of machines and of their running tasks.
    pub(crate) fn size(&self) -> FleetSize {
        let machines = self.machines();
        FleetSize {
            machines: machines.len(),
            running_tasks: machines.values().map(Machine::running_tasks).sum(),
        }
    }

    /// Rents the requested machines as far as there is capacity. Returns their names.
    pub(crate) fn rent(self: &Arc<Self>, request: &RentRequest) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..request.count {
            if self.machines().len() >= self.capacity.load(Ordering::Relaxed) {
                break;
            }
            let number = self.rented_count.fetch_add(1, Ordering::Relaxed);
            let name = format!("host-{number:06}");
            let machine = Machine::new(&request.zone);
            self.machines().insert(name.clone(), machine);
            // The worker task ends when its machine is returned. If the task fails, a phase times
            // out.
            tokio::spawn(self.clone().run_worker(name.clone(), number));
            names.push(name);
        }
        names
    }

    /// Returns machines to the cloud, which ends their workers.
    pub(crate) fn return_machines(&self, names: &[String]) {
        let mut machines = self.machines();
        for name in names {
            machines.remove(name);
        }
    }

    /// Returns a page of the machine list: the machines that follow `after` in the order of names.
    pub(crate) fn list_page(&self, after: Option<&str>, page_items: usize) -> MachinePage {
        let machines = self.machines();
        let mut remaining = machines
            .iter()
            .filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let page = remaining.by_ref().take(page_items);
        MachinePage {
            machines: page
                .map(|(name, machine)| machine.to_listed(name))
                .collect(),
            has_more: remaining.next().is_some(),
        }
    }
}
