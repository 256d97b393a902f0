//! What the unit tests of the engine's parts share.

use super::context::Context;
use super::jobs::Jobs;
use crate::model::{Job, JobId, JobPhase, JobSpec, Placement, PlacementStage, Timestamp, UnixTime};
use crate::settings::{Settings, tests::SAMPLE};
use crate::wire::user::{JobKind, JobSubmission, tests::job_submission as submission};
use std::sync::Arc;
use std::time::Duration;

/// A context whose process has run for so many milliseconds.
pub(super) fn context_at(millis: u64) -> Context {
    let settings = Settings::parse(SAMPLE, "sample").unwrap();
    let mut context = Context::new(Arc::new(settings), 7);
    let elapsed = Duration::from_millis(millis);
    context.advance(elapsed, UnixTime::from_millis(1_000_000 + millis));
    context
}

/// So many milliseconds after the engine's zero.
pub(super) fn instant(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A job that may run, of so many tasks.
pub(super) fn job(kind: JobKind, tasks: u64) -> Job {
    let spec = JobSpec::from(&submission("run-1", kind, tasks));
    Job::new(spec, 1, UnixTime::default(), JobPhase::Open, instant(0))
}

/// A submission that depends on these jobs.
pub(super) fn dependent(id: &str, depends_on: &[&str]) -> JobSubmission {
    let mut job = submission(id, JobKind::Array, 1);
    job.depends_on = depends_on.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// The first task of a job, reported in that stage on `host-1`.
pub(super) fn placement(stage: PlacementStage) -> Placement {
    Placement {
        machine: "host-1".into(),
        attempt: 1,
        stage,
        stage_since: instant(0),
        stop_request: None,
    }
}

/// Jobs of which `run-1` is the only one.
pub(super) fn jobs_with(job: Job) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.insert(JobId::from("run-1"), job);
    jobs
}
