//! Validation of a submission on its own, without settings and cluster state.

use super::JobSubmission;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum length in bytes of a text in a submission (names of classes, teams, images and zones).
/// Keys of the state service that contain an id stay below its limit of 200 bytes.
const MAX_TEXT_BYTES: usize = 120;
/// Maximum number of jobs that a job may depend on.
pub const MAX_DEPENDENCIES: usize = 64;
/// Maximum size in bytes of a list of machine types, counting four bytes of separators for each
/// name.
const MAX_MACHINE_TYPES_BYTES: usize = 2048;
/// Largest amount in a submission. This is far above the resources of any machine and the seconds
/// of a day, and far below the amounts whose conversion to integer units would overflow.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of digits in a job id.
const MAX_ID_DIGITS: usize = 20;

/// Why a submission is invalid on its own. The texts contain the field names on the wire because
/// users read them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubmission {
    /// The job's id does not have the form of a job id.
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
    /// An amount is negative, too large or not a finite number.
    #[error("{field}: expected a number from 0 to 1e9")]
    Amount {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// The names of the machine types are too long in total.
    #[error("models: expected at most {MAX_MACHINE_TYPES_BYTES} bytes in all")]
    MachineTypesLength,
    /// The zone's name is too long.
    #[error("yard: expected at most {MAX_TEXT_BYTES} bytes")]
    ZoneLength,
    /// There are too many dependencies, or one of them is not a job id.
    #[error("awaits: expected at most {MAX_DEPENDENCIES} job ids")]
    Dependencies,
}

impl JobSubmission {
    /// Checks all rules that depend on the submission alone.
    ///
    /// # Errors
    ///
    /// The first violation found, in this order: job id, names, number of tasks, amounts, machine
    /// types, zone, dependencies.
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

    /// Checks the lengths of the class, team and image names.
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

    /// Checks that all amounts are finite and within 0 to [`MAX_AMOUNT`].
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

    /// Checks the sizes of the optional fields, so that the record of any valid submission fits
    /// into one value of the state service.
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

/// Reports whether the text has the form of a job id: `run-` followed by digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|digits| {
        !digits.is_empty()
            && digits.len() <= MAX_ID_DIGITS
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
