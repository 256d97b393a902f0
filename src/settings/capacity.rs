//! Calculates the maximum memory of a node's connections, request bodies, responses and caches, and
//! the number of machines that fit into the rest. `docs/design.md` explains the sum.

use super::{Settings, SettingsWarning};
use crate::constants;

/// Number of bytes in a megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// Maximum memory of a node, in bytes, without the machines of the cluster, whose number the
/// settings do not bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MemoryRequirement {
    /// The process after its start.
    pub(super) process: usize,
    /// All connections of `front`, each with a full buffer.
    pub(super) connections: usize,
    /// Request bodies and the values decoded from them.
    pub(super) request_bodies: usize,
    /// Responses of the state service and the cloud, and the values decoded from them.
    pub(super) responses: usize,
    /// The cache of final job states.
    pub(super) caches: usize,
}

impl MemoryRequirement {
    /// Calculates the requirement of a node with these settings.
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

    /// Returns the sum of all parts, in bytes.
    pub(super) fn total(self) -> usize {
        self.process + self.connections + self.request_bodies + self.responses + self.caches
    }
}

impl Settings {
    /// Returns the memory limit of the process, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        (self.cluster.machine_limits.mem_mb * BYTES_PER_MB) as usize
    }

    /// Returns the number of machines, with their tasks and jobs, that fit into the rest of the
    /// memory.
    pub(super) fn max_machines_in_memory(&self) -> usize {
        let required = MemoryRequirement::new(self).total();
        self.memory_bytes().saturating_sub(required) / constants::BYTES_PER_MACHINE
    }

    /// Returns warnings about settings that are allowed, but ask for more than the service has been
    /// measured with.
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

    /// Returns a warning if the teams' limits allow more machines than fit into the memory. The
    /// number of GPUs per machine is not known here, so the warning states how many GPUs a machine
    /// must have for the memory to suffice.
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
