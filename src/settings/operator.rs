//! The operators' own settings, in the form of S-expressions. Every field has a default. An unknown
//! field is an error, so that a misspelt setting is not silently ignored.

use super::error::{InvalidField, SettingsError, Violation};
use serde::Deserialize;

/// Upper bound on [`Operator::idle_s`], in seconds: one day.
pub(super) const MAX_IDLE_S: f64 = 86_400.0;

/// Settings that the operators choose. The fields have the same names in the file.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Time for which a machine may be idle before it is returned, in seconds.
    pub idle_s: f64,
    /// Maximum number of machines that are rented at the same time; 0 for no limit.
    pub most_machines: u64,
    /// Whether to rent spot instances for jobs that allow them.
    pub spot: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            // About the boot time of a machine. Capacity for expected jobs is kept regardless of
            // this time, so that a longer time costs money without much benefit.
            idle_s: 30.0,
            most_machines: 0,
            spot: true,
        }
    }
}

impl Operator {
    /// Parses and validates the operators' settings; errors contain `file` as the name of the file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Parse`] if the text can't be parsed, and [`SettingsError::Field`]
    /// if a value is not allowed.
    pub fn parse(text: &str, file: &str) -> Result<Operator, SettingsError> {
        let operator: Operator =
            serde_lexpr::from_str(text).map_err(|error| SettingsError::Parse {
                file: file.into(),
                source: error.into(),
            })?;
        if !(0.0..=MAX_IDLE_S).contains(&operator.idle_s) {
            return Err(SettingsError::Field {
                file: file.into(),
                source: InvalidField::new("idle_s", Violation::IdleTime),
            });
        }
        Ok(operator)
    }
}

#[cfg(test)]
mod tests;
