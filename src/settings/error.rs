//! Errors of settings files. Their texts are written for operators and name the file and the field.

use super::operator::MAX_IDLE_S;
use super::validation::{MAX_AMOUNT, MAX_NODE_NAME_BYTES, MAX_TEAM_AMOUNT};
use crate::constants;

/// An error in reading, parsing or validating a settings file.
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
    /// The file's text can't be parsed.
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
        /// The field and the rule that its value breaks.
        source: InvalidField,
    },
}

/// The reason why a settings file's text can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The platform's file is not valid TOML, or its fields don't match the settings.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// The operators' file is not a valid S-expression, or its fields don't match the settings.
    #[error(transparent)]
    SExpression(#[from] serde_lexpr::Error),
}

/// A field whose value is not allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {violation}")]
pub struct InvalidField {
    /// Path of the field within the file.
    pub(super) field: String,
    /// The rule that the value breaks.
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

/// A rule that the value of a field breaks. The texts state the rule.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub(super) enum Violation {
    /// A node's name is empty, is too long or contains whitespace.
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
        /// The smallest allowed value.
        minimum: f64,
    },
    /// An amount of a team is negative, too large or not a number.
    #[error("expected a number from 0 to {MAX_TEAM_AMOUNT:e}")]
    TeamAmount,
    /// A size or a count is below its minimum.
    #[error("expected at least {minimum}")]
    BelowMinimum {
        /// The smallest allowed value.
        minimum: f64,
    },
    /// The time allowed for a cancellation is too short for a worker's lease to expire within it.
    #[error(
        "{cancel_s} given; expected at least lease_s ({lease_s}) and {} s more",
        constants::MIN_CANCEL_SLACK_S
    )]
    CancellationTime {
        /// Time allowed for a cancellation, in seconds.
        cancel_s: f64,
        /// A worker's lease, in seconds.
        lease_s: f64,
    },
    /// The maximum idle time of a machine is negative, too long or not a number.
    #[error("expected a number from 0 to {MAX_IDLE_S}")]
    IdleTime,
}
