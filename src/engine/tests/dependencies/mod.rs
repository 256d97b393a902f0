//! Jobs that depend on other jobs. The simulated cluster records a violation if a job starts before
//! its dependencies are done.

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

/// Decodes a record that the production version wrote.
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

/// Returns a chain of four jobs, each but the first depending on earlier ones. They are arrays and a
/// gang, the kinds of job that complete.
pub(super) fn job_chain() -> Vec<JobSubmission> {
    vec![
        dependent_job("run-1", JobKind::Array, 2, &[]),
        dependent_job("run-2", JobKind::Array, 3, &["run-1"]),
        dependent_job("run-3", JobKind::Gang, 2, &["run-2"]),
        dependent_job("run-4", JobKind::Array, 1, &["run-1", "run-3"]),
    ]
}
