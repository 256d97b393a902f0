//! The command line.

use clap::Parser;

/// What is measured, and how.
#[derive(Debug, Parser)]
pub(crate) struct Options {
    /// Machines of the fleet.
    #[arg(long, default_value_t = 200)]
    pub(crate) machines: usize,
    /// Length of each measured phase, s.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Connections that only stay open, in a phase of their own.
    #[arg(long, default_value_t = 0)]
    pub(crate) connections: usize,
    /// Jobs that wait for machines, in a phase of their own before any machine is rented.
    #[arg(long, default_value_t = 0)]
    pub(crate) waiting: usize,
    /// Between two heartbeats of a worker without news, s: longer for fleets that are too
    /// large for a node under callgrind.
    #[arg(long, default_value_t = 3)]
    pub(crate) heartbeat_interval: u64,
    /// Tasks of a job.
    #[arg(long, default_value_t = 8)]
    pub(crate) job_tasks: u64,
    /// Between two status queries of a user about a job that is not done, s.
    #[arg(long, default_value_t = 5)]
    pub(crate) poll_every: u64,
    /// Submissions a second in the busy phase.
    #[arg(long, default_value_t = 2)]
    pub(crate) submissions: u64,
    /// Measure a follower, and then its failover, instead of a leader.
    #[arg(long)]
    pub(crate) follower: bool,
    /// Read memory from a node that runs natively instead of counting instructions.
    #[arg(long)]
    pub(crate) native: bool,
    /// Functions listed for each phase.
    #[arg(long, default_value_t = 25)]
    pub(crate) functions: usize,
    /// Given by `cargo bench`.
    #[arg(long, hide = true)]
    pub(crate) bench: bool,
}
