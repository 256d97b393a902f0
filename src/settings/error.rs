//! Why a settings file is refused. Operators read these texts, so they name the file and the field.

use super::operator::MAX_IDLE_S;
use super::validation::{MAX_AMOUNT, MAX_NODE_NAME_BYTES, MAX_TEAM_AMOUNT};
use crate::constants;

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's text does not have the expected form.
    #[error("{file}: {source}")]
    Parse {
        /// Path of the file.
        file: String,
        /// The cause.
        source: ParseError,
    },
    /// A field's value is not allowed.
    #[error("{file}: {source}")]
    Field {
        /// Path of the file.
        file: String,
        /// The field, and what is allowed.
        source: InvalidField,
    },
}

/// Why a settings file's text can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The platform's file is not TOML of the expected form.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The operators' file is not an S-expression of the expected form.
    #[error(transparent)]
    SExpression(#[from] serde_lexpr::Error),
}

/// A field whose value is not allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {violation}")]
pub struct InvalidField {
    /// The field's path within the file.
    pub(super) field: String,
    /// What was expected.
    pub(super) violation: Violation,
}

impl InvalidField {
    pub(super) fn new(field: impl Into<String>, violation: Violation) -> Self {
        InvalidField {
            field: field.into(),
            violation,
        }
    }
}

/// How a value breaks the rule of its field; the texts name the rule.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub(super) enum Violation {
    /// A node's name is empty, too long or has spaces in it.
    #[error("expected 1 to {MAX_NODE_NAME_BYTES} bytes without spaces")]
    NodeName,
    /// The list of zones is empty.
    #[error("expected at least one zone")]
    NoZones,
    /// A duration, a rate or a share is not positive, too large or not a number.
    #[error("expected a number above 0, at most {MAX_AMOUNT:e}")]
    NotPositive,
    /// An amount is below its minimum, too large or not a number.
    #[error("expected a number from {minimum} to {MAX_AMOUNT:e}")]
    OutOfRange {
        /// The least that is allowed.
        minimum: f64,
    },
    /// An amount of a team is negative, too large or not a number.
    #[error("expected a number from 0 to {MAX_TEAM_AMOUNT:e}")]
    TeamAmount,
    /// A size or a number is below its minimum.
    #[error("expected at least {minimum}")]
    BelowMinimum {
        /// The least that is allowed.
        minimum: f64,
    },
    /// The time allowed for a cancellation is too short for a worker's lease to expire in it.
    #[error(
        "{cancel_s} given; expected at least lease_s ({lease_s}) and {} s more",
        constants::MIN_CANCEL_SLACK_S
    )]
    CancellationTime {
        /// Time allowed for a cancellation, s.
        cancel_s: f64,
        /// A worker's lease, s.
        lease_s: f64,
    },
    /// The time for which a machine may be idle is negative, too long or not a number.
    #[error("expected a number from 0 to {MAX_IDLE_S}")]
    IdleTime,
}
