//! The operators' own settings, as S-expressions. Every field has a default; an unknown one is
//! an error, since a misspelt setting must not be passed over in silence.

use super::SettingsError;
use serde::Deserialize;

/// Choices that are the operators' to make.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// How long a machine may stand idle before it is returned, s.
    pub idle_s: f64,
    /// Most machines rented at once; 0: as many as the cloud gives.
    pub most_machines: u64,
    /// Rent spot machines for jobs that allow them.
    pub spot: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            // About one boot: room for expected jobs is kept apart from this, so a longer wait
            // mostly costs money (measured: 20 to 60 s differ little).
            idle_s: 30.0,
            most_machines: 0,
            spot: true,
        }
    }
}

impl Operator {
    pub fn parse(text: &str, file: &str) -> Result<Operator, SettingsError> {
        let operator: Operator = serde_lexpr::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.into(),
            message: e.to_string(),
        })?;
        if !(0.0..=86_400.0).contains(&operator.idle_s) {
            return Err(SettingsError::Field {
                file: file.into(),
                field: "idle_s".into(),
                allowed: "expected a number from 0 to 86400".into(),
            });
        }
        Ok(operator)
    }
}

#[cfg(test)]
mod tests;
