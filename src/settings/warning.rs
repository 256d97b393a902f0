//! Warnings about settings that are allowed, but may not work well.

use crate::constants;

/// A setting that is allowed, but asks for more than the service has been measured with.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsWarning {
    /// The memory is too small for all connections and a cluster of
    /// [`constants::MIN_EXPECTED_MACHINES`].
    #[error(
        "cluster.machine_limits.mem_mb: {mem_mb} given; {max_connections} connections and {} machines may take {min_mb}",
        constants::MIN_EXPECTED_MACHINES
    )]
    LowMemory {
        /// Memory limit of the process, in MB.
        mem_mb: f64,
        /// Maximum number of open sockets.
        max_connections: usize,
        /// Memory that the connections and such a cluster may take, in MB.
        min_mb: f64,
    },
    /// The share of a processor core is smaller than any with which the service has been measured.
    #[error(
        "cluster.machine_limits.cpu_share: {cpu_share} given; less than {} was not measured",
        constants::MIN_MEASURED_CPU_SHARE
    )]
    LowCpuShare {
        /// Share of a processor core.
        cpu_share: f64,
    },
    /// The teams' limits allow more machines than fit into the memory.
    #[error(
        "cluster.machine_limits.mem_mb: carries about {machines} machines; the teams' limits \
         allow {gpus} GPUs, more than that if a machine has fewer than {min_machine_gpus}"
    )]
    ClusterTooLarge {
        /// Number of machines that fit into the memory.
        machines: usize,
        /// Sum of the teams' GPU limits.
        gpus: f64,
        /// Number of GPUs that a machine must have for the cluster to fit into the memory.
        min_machine_gpus: f64,
    },
}
