//! Constants that the simulated cloud, the workers and the jobs of the load share.

/// Name of the only machine type. Eight tasks of the load's jobs fill a machine.
pub(crate) const MACHINE_TYPE: &str = "g8";

/// Zones in which the machine type is available.
pub(crate) const ZONES: [&str; 2] = ["east", "west"];

/// Number of tasks that fill a machine.
pub(crate) const MAX_TASKS_PER_MACHINE: u64 = 8;

/// Id prefix of services, whose tasks run until they are stopped.
pub(crate) const SERVICE_PREFIX: &str = "run-1";

/// Id prefix of arrays, whose tasks complete.
pub(crate) const ARRAY_PREFIX: &str = "run-2";
