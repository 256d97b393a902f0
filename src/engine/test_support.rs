//! Helpers shared by the unit tests of the engine's components.

use super::context::Context;
use super::jobs::Jobs;
use crate::model::{Job, JobId, JobPhase, JobSpec, Placement, PlacementStage, Timestamp, UnixTime};
use crate::settings::{Settings, tests::SAMPLE};
use crate::wire::user::{JobKind, JobSubmission, tests::job_submission as submission};
use std::sync::Arc;
use std::time::Duration;

/// Returns a context `millis` milliseconds after the start of the process.
pub(super) fn context_at(millis: u64) -> Context {
    let settings = Settings::parse(SAMPLE, "sample").unwrap();
    let mut context = Context::new(Arc::new(settings), 7);
    let elapsed = Duration::from_millis(millis);
    context.advance(elapsed, UnixTime::from_millis(1_000_000 + millis));
    context
}

/// Returns the time `millis` milliseconds after the zero of the monotonic clock.
pub(super) fn instant(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns an open job with the given number of tasks.
pub(super) fn job(kind: JobKind, tasks: u64) -> Job {
    let spec = JobSpec::from(&submission("run-1", kind, tasks));
    Job::new(spec, 1, UnixTime::default(), JobPhase::Open, instant(0))
}

/// Returns a submission that depends on the given jobs.
pub(super) fn dependent(id: &str, depends_on: &[&str]) -> JobSubmission {
    let mut job = submission(id, JobKind::Array, 1);
    job.depends_on = depends_on.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// Returns the placement of a task's first attempt on `host-1` in the given stage.
pub(super) fn placement(stage: PlacementStage) -> Placement {
    Placement::new("host-1".into(), 1, stage, instant(0))
}

/// Returns a job collection that contains only the given job, under the id `run-1`.
pub(super) fn jobs_with(job: Job) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.insert(JobId::from("run-1"), job);
    jobs
}
