//! Jobs that depend on others. The simulated cluster records a violation if one starts before its
//! dependencies are done.

mod blocked_jobs;
mod cancellation;
mod chains;
mod completion_races;
mod event_orders;
mod production_records;
mod status_queries;
mod upcoming_limits;

use super::support::dependent_job;
use crate::wire::user::{JobKind, JobSubmission};

/// A record as the production version wrote it.
macro_rules! production {
    ($name:literal) => {
        rmp_serde::from_slice(include_bytes!(concat!(
            "../../../../tests/fixtures/production/",
            $name,
            ".msgpack"
        )))
        .unwrap()
    };
}
pub(super) use production;

/// Four jobs that depend on each other in a row, of each kind that ends.
pub(super) fn job_chain() -> Vec<JobSubmission> {
    vec![
        dependent_job("run-1", JobKind::Array, 2, &[]),
        dependent_job("run-2", JobKind::Array, 3, &["run-1"]),
        dependent_job("run-3", JobKind::Gang, 2, &["run-2"]),
        dependent_job("run-4", JobKind::Array, 1, &["run-1", "run-3"]),
    ]
}
