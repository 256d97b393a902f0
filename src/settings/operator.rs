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
mod tests {
    use super::*;

    #[test]
    fn the_example_holds_the_defaults() {
        let example = include_str!("../../examples/operator.sexp");
        assert_eq!(
            Operator::parse(example, "example").unwrap(),
            Operator::default()
        );
    }

    #[test]
    fn s_expressions_are_read_and_checked() {
        let o = Operator::parse("((idle_s . 30.5) (spot . #f))", "o.sexp").unwrap();
        assert_eq!((o.idle_s, o.spot, o.most_machines), (30.5, false, 0));
        let text = Operator::parse("((idel_s . 30.0))", "o.sexp")
            .unwrap_err()
            .to_string();
        assert!(text.contains("o.sexp") && text.contains("idel_s"), "{text}");
        let text = Operator::parse("((idle_s . -1.0))", "o.sexp")
            .unwrap_err()
            .to_string();
        assert!(
            text.contains("idle_s") && text.contains("0 to 86400"),
            "{text}"
        );
    }
}
