//! Placement: pure functions over [`MachineSnapshot`]s that decide which tasks start, stop or move
//! on which machines.
//!
//! [`plan_round`] decides which waiting tasks start on which machines. Jobs are served in the order
//! of [`sort_by_service_order`]. Each task goes to the eligible machine that is fullest once the
//! task is placed on it (best fit), within the job's constraints on machine types, zones and spot
//! instances and within its team's quota. [`preemption`] chooses running tasks to stop for a job
//! that does not fit on any machine, and [`consolidation`] chooses a machine to drain.
//!
//! This module reads no clock and does no I/O. The same input always gives the same result: ties
//! are broken by the order in which machines and jobs are passed in.

pub mod consolidation;
pub mod preemption;

mod candidate;
mod constraints;
mod gang;
mod packing;
mod planner;
mod quota;
mod reservation;
mod round;
mod snapshot;

pub use candidate::{Candidate, min_available, sort_by_service_order};
pub use constraints::TasksByZone;
pub use planner::plan_round;
pub use quota::QuotaUsage;
pub use round::{RoundLimits, RoundPlan, TaskStart, UnplacedTasks};
pub use snapshot::{MachineSnapshot, PendingFetch};

pub(crate) use constraints::{add_tasks, is_eligible, zone_headroom};
pub(crate) use packing::{Assignment, assign_tasks, assigned_tasks};

/// A whole machine, in thousandths.
const PERMILLE: u64 = 1000;

#[cfg(test)]
pub(crate) mod tests;
