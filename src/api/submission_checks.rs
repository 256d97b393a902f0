//! Checks that a submission is well-formed and that the cluster could ever run its job.

use crate::model::{JobId, JobSpec, MachineType, MachineTypes};
use crate::settings::Settings;
use crate::wire::user::{InvalidSubmission, JobKind, JobSubmission};
use crate::wire::{DecodeError, decode};

/// Reasons why a body is not a valid submission. The texts are sent to users.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedSubmission {
    /// The body can't be decoded as a submission.
    #[error(transparent)]
    Undecodable(#[from] DecodeError),
    /// A field has a value that is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidSubmission),
    /// The job's record would exceed the maximum size of a value in the state service.
    #[error("models and awaits: too long together")]
    RecordTooLarge,
}

/// Reasons why a well-formed submission is rejected. The texts are sent to users.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum RejectedSubmission {
    /// The settings define no team with this name.
    #[error("crew: no team {team:?}")]
    UnknownTeam {
        /// The team's name.
        team: String,
    },
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// A single task exceeds the team's limit.
    #[error("a task needs more than the limit of team {team:?}")]
    TaskOverLimit {
        /// The team's name.
        team: String,
    },
    /// The tasks that must run together exceed the team's limit.
    #[error("the job needs more than the limit of team {team:?}")]
    JobOverLimit {
        /// The team's name.
        team: String,
    },
    /// The job depends on itself.
    #[error("awaits: names the job itself")]
    DependsOnItself,
    /// The job depends on a job that was never accepted.
    #[error("awaits: {job} was never accepted")]
    UnknownDependency {
        /// Id of the job that was never accepted.
        job: JobId,
    },
}

/// Decodes and validates the body of a submission.
///
/// # Errors
///
/// Returns an error if the body can't be decoded or a field has a value that is not allowed.
pub(super) fn parse_submission(body: &[u8]) -> Result<JobSubmission, MalformedSubmission> {
    let job: JobSubmission = decode(body)?;
    job.validate()?;
    Ok(job)
}

/// Checks whether the job could ever run: its team exists, a task fits an allowed machine type, and
/// the smallest amount of resources that the job needs at one time is within the team's limit.
///
/// # Errors
///
/// Returns the first of these conditions that is not met.
pub(super) fn check_runnable(
    job: &JobSubmission,
    settings: &Settings,
    machine_types: &MachineTypes,
) -> Result<(), RejectedSubmission> {
    let team_name = || job.team.clone();
    let Some(team) = settings.team(&job.team) else {
        return Err(RejectedSubmission::UnknownTeam { team: team_name() });
    };
    let spec = JobSpec::from(job);
    let mut machine_types = machine_types.values();
    if !machine_types.any(|machine_type| can_run_on(&spec, machine_type)) {
        return Err(RejectedSubmission::NoMachineTypeFits);
    }
    if team.limit().allows(spec.min_request()) {
        return Ok(());
    }
    Err(match job.kind {
        JobKind::Array => RejectedSubmission::TaskOverLimit { team: team_name() },
        JobKind::Gang | JobKind::Service => RejectedSubmission::JobOverLimit { team: team_name() },
    })
}

/// Reports whether the job allows this machine type and one of the type's zones, and a task of the
/// job fits a machine of the type.
fn can_run_on(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let is_allowed_zone = |zone| spec.zone.as_ref().is_none_or(|allowed| allowed == zone);
    let is_allowed_type = spec
        .machine_types
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&machine_type.name));
    is_allowed_type
        && machine_type.zones.iter().any(is_allowed_zone)
        && spec.request.fits_in(machine_type.capacity)
}
