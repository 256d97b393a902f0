//! The simulated network: which messages are delivered, and their latency.

use super::events::Event;
use super::{Millis, SimulatedCluster};
use rand::Rng;

/// Latency of a message without jitter.
const MESSAGE_LATENCY: Millis = 5;

impl SimulatedCluster {
    /// Returns the random additional latency of the next message.
    pub(super) fn next_jitter(&mut self) -> Millis {
        match self.faults.max_jitter {
            0 => 0,
            max => self.jitter_rng.random_range(0..=max),
        }
    }

    /// Returns the latency of the next message, with jitter.
    pub(super) fn next_latency(&mut self) -> Millis {
        MESSAGE_LATENCY + self.next_jitter()
    }

    /// Schedules the arrival of a message after its latency.
    pub(super) fn deliver(&mut self, event: Event) {
        let latency = self.next_latency();
        self.schedule(latency, event);
    }

    /// Reports whether a machine's heartbeats reach a node, and the node's replies the machine.
    pub(super) fn heartbeat_reaches(&self, machine: &str, node: usize) -> bool {
        let hung = self.faults.hung_machines.contains(machine);
        let heartbeats_lost = self.faults.machines_without_heartbeats.contains(machine);
        !hung && !heartbeats_lost && self.is_connected(machine, node)
    }

    /// Reports whether a machine and a node can reach each other.
    pub(super) fn is_connected(&self, machine: &str, node: usize) -> bool {
        let Some(worker) = self.workers.get(machine) else {
            return false;
        };
        let partitioned = self.faults.zones_partitioned && worker.zone != self.nodes[node].zone;
        let isolated = self.faults.nodes_without_workers.contains(&node);
        !partitioned && !isolated && !self.faults.unreachable_machines.contains(machine)
    }

    /// Reports whether two nodes can reach each other.
    pub(super) fn are_peers_connected(&self, from: usize, to: usize) -> bool {
        let partitioned =
            self.faults.zones_partitioned && self.nodes[to].zone != self.nodes[from].zone;
        let isolated = &self.faults.nodes_without_peers;
        !partitioned && !isolated.contains(&from) && !isolated.contains(&to)
    }
}
