//! Decisions about tasks and machines: pure functions over [`MachineSnapshot`]s.
//!
//! [`plan_round`] decides which waiting tasks start on which machines. Jobs are served in the order
//! of [`sort_by_service_order`]; each task goes to the eligible machine that it leaves fullest (best
//! fit), within the rules on machine types, zones and spot instances and its team's quota.
//! [`preemption`] chooses running tasks to stop for a job that finds no room, and [`consolidation`]
//! a machine to drain.
//!
//! Nothing here reads a clock or does I/O, and the same input always gives the same result: ties
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

/// All of a machine, in thousandths.
const PERMILLE: u64 = 1000;

#[cfg(test)]
pub(crate) mod tests;
