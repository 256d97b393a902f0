//! What the simulated cloud, its workers and the jobs of the load agree on.

/// The one machine type: eight tasks of the load's jobs fill a machine.
pub(crate) const MACHINE_TYPE: &str = "g8";

/// The zones that have it.
pub(crate) const ZONES: [&str; 2] = ["east", "west"];

/// Tasks that fill a machine.
pub(crate) const MAX_TASKS_PER_MACHINE: u64 = 8;

/// Prefix of the ids of services, whose tasks run without end.
pub(crate) const SERVICE_PREFIX: &str = "run-1";

/// Prefix of the ids of arrays.
pub(crate) const ARRAY_PREFIX: &str = "run-2";
