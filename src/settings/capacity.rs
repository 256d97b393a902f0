//! The memory that queues, caches and requests' bodies of a node may take together, and how many
//! machines the rest is enough for. The sum is explained in `docs/design.md`.

use super::{Settings, SettingsWarning};
use crate::constants;

/// Bytes of a MB.
const BYTES_PER_MB: f64 = 1e6;

/// Most memory that a node takes, bytes, without that for the machines of the cluster, which the
/// settings do not bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MemoryRequirement {
    /// The process without any work.
    pub(super) process: usize,
    /// All connections of `front`, with their buffers full.
    pub(super) connections: usize,
    /// Bodies of requests, and what is decoded from them.
    pub(super) request_bodies: usize,
    /// Responses of the state service and the cloud, and what is decoded from them.
    pub(super) responses: usize,
    /// Caches of final states.
    pub(super) caches: usize,
}

impl MemoryRequirement {
    /// The requirement under these settings.
    pub(super) fn new(settings: &Settings) -> Self {
        MemoryRequirement {
            process: constants::PROCESS_BASE_BYTES,
            connections: settings.max_front_connections() * constants::BYTES_PER_CONNECTION,
            request_bodies: settings.body_budget() * constants::DECODED_BODY_MEMORY_FACTOR,
            responses: constants::MAX_CONCURRENT_LARGE_RESPONSES
                * constants::MAX_LIST_PAGE_BYTES
                * constants::DECODED_RESPONSE_MEMORY_FACTOR,
            caches: constants::FINAL_STATE_CACHE_ENTRIES * constants::BYTES_PER_FINAL_STATE,
        }
    }

    /// The sum of all parts, bytes.
    pub(super) fn total(self) -> usize {
        self.process + self.connections + self.request_bodies + self.responses + self.caches
    }
}

impl Settings {
    /// Memory of the process, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        (self.cluster.machine_limits.mem_mb * BYTES_PER_MB) as usize
    }

    /// How many machines, with their tasks and jobs, the rest of the memory is enough for.
    pub(super) fn max_machines_in_memory(&self) -> usize {
        let required = MemoryRequirement::new(self).total();
        self.memory_bytes().saturating_sub(required) / constants::BYTES_PER_MACHINE
    }

    /// What operators should know of settings that are allowed, but ask for more than was measured
    /// to work.
    pub fn warnings(&self) -> Vec<SettingsWarning> {
        let warnings = [
            self.memory_warning(),
            self.cpu_warning(),
            self.cluster_size_warning(),
        ];
        warnings.into_iter().flatten().collect()
    }

    fn memory_warning(&self) -> Option<SettingsWarning> {
        let limits = &self.cluster.machine_limits;
        let min_bytes = MemoryRequirement::new(self).total()
            + constants::MIN_EXPECTED_MACHINES * constants::BYTES_PER_MACHINE;
        let min_mb = (min_bytes as f64 / BYTES_PER_MB).ceil();
        (limits.mem_mb < min_mb).then_some(SettingsWarning::LowMemory {
            mem_mb: limits.mem_mb,
            max_connections: limits.max_connections,
            min_mb,
        })
    }

    fn cpu_warning(&self) -> Option<SettingsWarning> {
        let cpu_share = self.cluster.machine_limits.cpu_share?;
        (cpu_share < constants::MIN_MEASURED_CPU_SHARE)
            .then_some(SettingsWarning::LowCpuShare { cpu_share })
    }

    /// Whether the teams' limits allow more machines than the memory may be enough for. How many
    /// GPUs a machine has is not known here, so the warning tells how many it must have.
    fn cluster_size_warning(&self) -> Option<SettingsWarning> {
        let gpus: f64 = self.cluster.teams.iter().map(|team| team.gpus_max).sum();
        let machines = self.max_machines_in_memory().max(1);
        let min_machine_gpus = (gpus / machines as f64).ceil();
        (min_machine_gpus > 1.0).then_some(SettingsWarning::ClusterTooLarge {
            machines,
            gpus,
            min_machine_gpus,
        })
    }
}
