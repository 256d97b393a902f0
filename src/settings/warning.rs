//! What operators should know of settings that are allowed.

use crate::constants;

/// A setting that is allowed, but asks for more than was measured to work.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsWarning {
    /// The memory is too small for connections and a small cluster.
    #[error(
        "cluster.machine_limits.mem_mb: {mem_mb} given; {max_connections} connections and {} machines may take {min_mb}",
        constants::MIN_EXPECTED_MACHINES
    )]
    LowMemory {
        /// Memory of the process, MB.
        mem_mb: f64,
        /// Sockets at once.
        max_connections: usize,
        /// Memory that connections and a small cluster may take, MB.
        min_mb: f64,
    },
    /// The share of a processor core is smaller than any that was measured.
    #[error(
        "cluster.machine_limits.cpu_share: {cpu_share} given; less than {} was not measured",
        constants::MIN_MEASURED_CPU_SHARE
    )]
    LowCpuShare {
        /// Share of a processor core.
        cpu_share: f64,
    },
    /// The teams' limits allow more machines than the memory may be enough for.
    #[error(
        "cluster.machine_limits.mem_mb: carries about {machines} machines; the teams' limits \
         allow {gpus} GPUs, more than that if a machine has fewer than {min_machine_gpus}"
    )]
    ClusterTooLarge {
        /// Machines for which there is memory.
        machines: usize,
        /// Sum of the teams' limits of GPUs.
        gpus: f64,
        /// GPUs that a machine must have for the memory to be enough.
        min_machine_gpus: f64,
    },
}
