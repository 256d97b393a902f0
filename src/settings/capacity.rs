//! What a node's machine has to have: the memory that queues, caches and bodies may take together, and
//! how large a fleet that leaves room for. The sum is worked out in `docs/design.md`.

use super::Settings;
use crate::constants;

/// Memory of a node at its worst, bytes. All but the fleet's part is bounded by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryNeed {
    /// The process without any work.
    pub start: usize,
    /// All connections of `front`, with their buffers full.
    pub connections: usize,
    /// Bodies of requests, and what is decoded from them.
    pub bodies: usize,
    /// Answers of the state service and the cloud, and what is decoded from them.
    pub answers: usize,
    /// Caches, and memories of what is over.
    pub caches: usize,
}

impl MemoryNeed {
    /// The need under these settings.
    pub fn of(settings: &Settings) -> Self {
        MemoryNeed {
            start: constants::PROCESS_BASE_BYTES,
            connections: settings.front_connections() * constants::CONNECTION_BYTES,
            bodies: settings.body_budget() * constants::BODY_DECODED_FACTOR,
            answers: constants::MAX_LARGE_RESPONSES
                * constants::USUAL_MAX_RESPONSE_BYTES
                * constants::RESPONSE_DECODED_FACTOR,
            caches: constants::FINAL_STATE_CACHE_ENTRIES * constants::FINAL_STATE_BYTES,
        }
    }

    /// Bytes in all, without the fleet.
    pub fn total(self) -> usize {
        self.start + self.connections + self.bodies + self.answers + self.caches
    }
}

impl Settings {
    /// How many machines, with their tasks and jobs, the memory that is left carries.
    pub fn machines_carried(&self) -> usize {
        let memory = (self.cluster.machine_limits.mem_mb * 1e6) as usize;
        memory.saturating_sub(MemoryNeed::of(self).total()) / constants::MACHINE_BYTES
    }

    /// What operators should know of settings that are allowed, but ask for more than was measured to
    /// work.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        let limits = &self.cluster.machine_limits;
        let least = MemoryNeed::of(self).total()
            + constants::MIN_EXPECTED_MACHINES * constants::MACHINE_BYTES;
        let least_mb = (least as f64 / 1e6).ceil();
        if limits.mem_mb < least_mb {
            warnings.push(format!(
                "cluster.machine_limits.mem_mb: {} given; {} connections and {} machines may take {least_mb}",
                limits.mem_mb, limits.max_connections, constants::MIN_EXPECTED_MACHINES
            ));
        }
        if let Some(share) = limits
            .cpu_share
            .filter(|share| *share < constants::MIN_MEASURED_CPU_SHARE)
        {
            warnings.push(format!(
                "cluster.machine_limits.cpu_share: {share} given; less than {} was not measured",
                constants::MIN_MEASURED_CPU_SHARE
            ));
        }
        warnings.extend(self.fleet_warning());
        warnings
    }

    /// Whether the teams' limits allow a fleet that the memory may not carry: machines' sizes are not
    /// known here, so it tells how many GPUs a machine must have.
    fn fleet_warning(&self) -> Option<String> {
        let gpus: f64 = self.cluster.teams.iter().map(|team| team.gpus_max).sum();
        let machines = self.machines_carried().max(1);
        let gpus_each = (gpus / machines as f64).ceil();
        (gpus_each > 1.0).then(|| {
            format!(
                "cluster.machine_limits.mem_mb: carries about {machines} machines; the teams' limits \
                 allow {gpus} GPUs, more than that if a machine has fewer than {gpus_each}"
            )
        })
    }
}
