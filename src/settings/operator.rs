//! The operators' own settings, as S-expressions. Every field has a default; an unknown one is
//! an error, since a misspelt setting must not be ignored.

use super::error::{InvalidField, SettingsError, Violation};
use serde::Deserialize;

/// Longest time for which a machine may be idle, s: a day.
pub(super) const MAX_IDLE_S: f64 = 86_400.0;

/// Choices that are the operators' to make. Fields have the names of the file.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// How long a machine may be idle before it is returned, s.
    pub idle_s: f64,
    /// Most machines rented at once; 0: as many as the cloud gives.
    pub most_machines: u64,
    /// Whether to rent spot instances for jobs that allow them.
    pub spot: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            // About one boot. Capacity for expected jobs is kept apart from this, so that a longer
            // time costs money and gains little.
            idle_s: 30.0,
            most_machines: 0,
            spot: true,
        }
    }
}

impl Operator {
    /// Parses and checks the operators' settings; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Parse`] if the text does not have the expected form, and
    /// [`SettingsError::Field`] if a value is not allowed.
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
