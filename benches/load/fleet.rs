//! The fleet: machines that the cloud rents and lists, each with a worker.

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
    /// Machines that are rented.
    pub(crate) machines: usize,
    /// Tasks that run on them.
    pub(crate) running_tasks: usize,
}

/// All machines with their workers.
pub(crate) struct Fleet {
    machines: Mutex<BTreeMap<String, Machine>>,
    /// Wakes workers whose next heartbeat may be due earlier.
    pub(crate) changed: Notify,
    /// How many machines the cloud rents at most.
    capacity: AtomicUsize,
    rented: AtomicU64,
    /// Heartbeats answered with 200.
    pub(crate) heartbeats: AtomicU64,
    pub(crate) nodes: Vec<NodeAddress>,
    /// Between two heartbeats without news.
    pub(crate) heartbeat_interval: Duration,
}

impl Fleet {
    /// A fleet without machines and without capacity, whose workers send heartbeats to `nodes`.
    pub(crate) fn new(heartbeat_interval: Duration, nodes: Vec<NodeAddress>) -> Arc<Fleet> {
        Arc::new(Fleet {
            machines: Mutex::default(),
            changed: Notify::new(),
            capacity: AtomicUsize::new(0),
            rented: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            nodes,
            heartbeat_interval,
        })
    }

    /// All machines by name.
    pub(crate) fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Heartbeats that were answered with 200 so far.
    pub(crate) fn heartbeats(&self) -> u64 {
        self.heartbeats.load(Ordering::Relaxed)
    }

    /// Sets how many machines the cloud rents at most.
    pub(crate) fn set_capacity(&self, machines: usize) {
        self.capacity.store(machines, Ordering::Relaxed);
    }

    /// How many machines there are, and how many tasks run on them.
    pub(crate) fn size(&self) -> FleetSize {
        let machines = self.machines();
        FleetSize {
            machines: machines.len(),
            running_tasks: machines.values().map(Machine::running_tasks).sum(),
        }
    }

    /// Rents as many machines as there is capacity for.
    pub(crate) fn rent(self: &Arc<Self>, rent: &RentRequest) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..rent.count {
            if self.machines().len() >= self.capacity.load(Ordering::Relaxed) {
                break;
            }
            let number = self.rented.fetch_add(1, Ordering::Relaxed);
            let name = format!("host-{number:06}");
            let machine = Machine::new(&rent.zone);
            self.machines().insert(name.clone(), machine);
            // The worker ends when its machine is returned; without it the phases time out.
            tokio::spawn(self.clone().run_worker(name.clone(), number));
            names.push(name);
        }
        names
    }

    /// Returns machines to the cloud; their workers end.
    pub(crate) fn return_machines(&self, names: &[String]) {
        let mut machines = self.machines();
        for name in names {
            machines.remove(name);
        }
    }

    /// A page of the machine list.
    pub(crate) fn list(&self, after: Option<&str>, page_items: usize) -> MachinePage {
        let machines = self.machines();
        let mut rest = machines
            .iter()
            .filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let page = rest.by_ref().take(page_items);
        MachinePage {
            machines: page.map(|(name, machine)| machine.listed(name)).collect(),
            has_more: rest.next().is_some(),
        }
    }
}
