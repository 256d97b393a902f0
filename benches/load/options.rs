//! Command-line options of the load program.

use clap::Parser;

/// Measures the processor time or memory of a node under load.
#[derive(Debug, Parser)]
pub(crate) struct Options {
    /// Number of machines in the fleet.
    #[arg(long, default_value_t = 200)]
    pub(crate) machines: usize,
    /// Length of each measured phase, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Number of idle connections that are kept open in a separate phase.
    #[arg(long, default_value_t = 0)]
    pub(crate) connections: usize,
    /// Number of jobs that wait for machines in a separate phase, before any machine is rented.
    #[arg(long, default_value_t = 0)]
    pub(crate) waiting: usize,
    /// Time between two heartbeats of a worker without commands or changed tasks, in seconds. Use a
    /// longer time for fleets that are too large for a node under callgrind.
    #[arg(long, default_value_t = 3)]
    pub(crate) heartbeat_interval: u64,
    /// Number of tasks per job.
    #[arg(long, default_value_t = 8)]
    pub(crate) job_tasks: u64,
    /// Time between two status queries of a user about a job that is not done, in seconds.
    #[arg(long, default_value_t = 5)]
    pub(crate) poll_every: u64,
    /// Number of submissions per second in the busy phase.
    #[arg(long, default_value_t = 2)]
    pub(crate) submissions: u64,
    /// Measure a follower and then its failover, instead of a leader.
    #[arg(long)]
    pub(crate) follower: bool,
    /// Read memory from a node that runs natively instead of counting instructions.
    #[arg(long)]
    pub(crate) native: bool,
    /// Number of functions that are listed for each phase.
    #[arg(long, default_value_t = 25)]
    pub(crate) functions: usize,
    /// Passed by `cargo bench`; has no effect.
    #[arg(long, hide = true)]
    pub(crate) bench: bool,
}
