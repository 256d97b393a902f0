//! Whether a submission is well-formed, and whether its job could ever run.

use crate::model::{JobId, JobSpec, MachineType, MachineTypes};
use crate::settings::Settings;
use crate::wire::user::{InvalidSubmission, JobKind, JobSubmission};
use crate::wire::{DecodeError, decode};

/// Why a body is not a submission. Users see the texts.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedSubmission {
    /// It is not a message of the expected form.
    #[error(transparent)]
    Undecodable(#[from] DecodeError),
    /// A field's value is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidSubmission),
    /// Its record would not fit into a value of the state service.
    #[error("models and awaits: too long together")]
    RecordTooLarge,
}

/// Why a well-formed submission is rejected. Users see the texts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum RejectedSubmission {
    /// The settings have no such team.
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
    /// The job depends on one that was never accepted.
    #[error("awaits: {job} was never accepted")]
    UnknownDependency {
        /// The dependency.
        job: JobId,
    },
}

/// Reads and checks the body of a submission.
pub(super) fn parse_submission(body: &[u8]) -> Result<JobSubmission, MalformedSubmission> {
    let job: JobSubmission = decode(body)?;
    job.validate()?;
    Ok(job)
}

/// Checks whether the job could ever run: its team exists, a task fits an allowed machine type, and
/// the least that it needs at once is within the team's limit.
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

/// Whether a task of the job may use machines of that type, in one of the type's zones, and fits.
fn can_run_on(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let zone_is_allowed = |zone| spec.zone.as_ref().is_none_or(|allowed| allowed == zone);
    let type_is_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&machine_type.name));
    type_is_allowed
        && machine_type.zones.iter().any(zone_is_allowed)
        && spec.request.fits_in(machine_type.capacity)
}
