//! What can be told of a submission by itself, without settings and state.

use super::JobSubmission;

/// Most tasks of one job.
pub const MAX_TASKS: u64 = 100_000;
/// Most bytes of a text in a submission (names of teams, images, types); ids of keys stay below
/// the state service's 200 bytes.
const MAX_TEXT_BYTES: usize = 120;
/// Most jobs that one may depend on.
pub const MAX_DEPENDENCIES: usize = 64;
/// Most bytes of a list of machine types, with four bytes for each one's separators.
const MAX_MACHINE_TYPES_BYTES: usize = 2048;
/// Largest amount in a submission: far above any machine or day, far below where integer units
/// would overflow.
const MAX_AMOUNT: f64 = 1e9;
/// Most digits of a job id.
const MAX_ID_DIGITS: usize = 20;

/// What is wrong with a submission by itself. The texts name fields as on the wire: users see them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubmission {
    /// The job's id does not have the form of one.
    #[error("uid: expected run- and digits")]
    JobId,
    /// A name is empty or too long.
    #[error("{field}: expected 1 to {MAX_TEXT_BYTES} bytes")]
    TextLength {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// The number of tasks is 0 or too large.
    #[error("pieces: expected 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, too large or not a number.
    #[error("{field}: expected a number from 0 to 1e9")]
    Amount {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// The list of machine types is too long.
    #[error("models: expected at most {MAX_MACHINE_TYPES_BYTES} bytes in all")]
    MachineTypesLength,
    /// The zone's name is too long.
    #[error("yard: expected at most {MAX_TEXT_BYTES} bytes")]
    ZoneLength,
    /// Too many dependencies, or one is not a job id.
    #[error("awaits: expected at most {MAX_DEPENDENCIES} job ids")]
    Dependencies,
}

impl JobSubmission {
    /// Checks everything that can be told from the submission alone.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn validate(&self) -> Result<(), InvalidSubmission> {
        if !is_valid_job_id(&self.id) {
            return Err(InvalidSubmission::JobId);
        }
        self.validate_names()?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidSubmission::TaskCount);
        }
        self.validate_amounts()?;
        self.validate_lengths()
    }

    fn validate_names(&self) -> Result<(), InvalidSubmission> {
        let names = [
            ("docket", &self.class),
            ("crew", &self.team),
            ("plate", &self.image),
        ];
        for (field, text) in names {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                return Err(InvalidSubmission::TextLength { field });
            }
        }
        Ok(())
    }

    fn validate_amounts(&self) -> Result<(), InvalidSubmission> {
        let amounts = [
            ("vcpus", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.expected_duration_s),
            ("bookmark_s", self.checkpoint_interval_s),
            ("bookmark_cost_s", self.checkpoint_cost_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(InvalidSubmission::Amount { field });
            }
        }
        Ok(())
    }

    /// A record must fit into one value of the state service, whatever the user writes.
    fn validate_lengths(&self) -> Result<(), InvalidSubmission> {
        let machine_types = self.machine_types.iter().flatten();
        let machine_types_bytes: usize = machine_types.map(|name| name.len() + 4).sum();
        if machine_types_bytes > MAX_MACHINE_TYPES_BYTES {
            return Err(InvalidSubmission::MachineTypesLength);
        }
        let zone = self.zone.as_ref();
        if zone.is_some_and(|zone| zone.len() > MAX_TEXT_BYTES) {
            return Err(InvalidSubmission::ZoneLength);
        }
        let ids_are_valid = self.depends_on.iter().all(|id| is_valid_job_id(id));
        if self.depends_on.len() > MAX_DEPENDENCIES || !ids_are_valid {
            return Err(InvalidSubmission::Dependencies);
        }
        Ok(())
    }
}

/// Whether this is a job id as users form them: `run-` and digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|digits| {
        !digits.is_empty()
            && digits.len() <= MAX_ID_DIGITS
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
