//! Tests that compare the exact error texts for bad input with fixtures.
//!
//! Every case has a name and an outcome, which is the text of the error or [`ACCEPTED`]. The fixtures in
//! `tests/fixtures/errors` have one line per case: the name, a tab and the outcome, with backslashes, line
//! breaks and tabs escaped. The cases are written in terms of the protocol and the settings files, not of
//! the types that decode them, so that renaming a type can't change a case together with its outcome.

// A panic fails the test, also in its helpers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../support/mod.rs"]
mod support;

mod bounds;
mod messages;
mod mutations;
mod requests;
mod settings;

use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;

/// The outcome of input that is accepted.
const ACCEPTED: &str = "accepted";

/// The name and the outcome of an input.
struct Case {
    name: String,
    outcome: String,
}

impl Case {
    fn new<T, E: Display>(name: impl Into<String>, result: Result<T, E>) -> Self {
        let outcome = match result {
            Ok(_) => ACCEPTED.to_owned(),
            Err(error) => error.to_string(),
        };
        let name = name.into();
        Case { name, outcome }
    }

    /// Returns the line of the fixture, with its line break.
    fn fixture_line(&self) -> String {
        format!("{}\t{}\n", escape(&self.name), escape(&self.outcome))
    }
}

/// Escapes backslashes, line breaks and tabs.
fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\n', "\\n")
        .replace('\t', "\\t")
}

/// Asserts that the cases match a fixture line by line. Also writes the actual lines to a file in the
/// directory `CARGO_TARGET_TMPDIR`.
///
/// # Panics
///
/// Panics if the lines differ, with the first difference and the path of the file, or if two cases have
/// the same name.
fn assert_fixture(fixture: &str, cases: &[Case]) {
    let names: BTreeSet<&str> = cases.iter().map(|case| case.name.as_str()).collect();
    assert_eq!(
        names.len(),
        cases.len(),
        "{fixture}: two cases have the same name"
    );
    let actual: String = cases.iter().map(Case::fixture_line).collect();
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(fixture);
    std::fs::write(&actual_path, &actual).unwrap();
    let expected_path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/errors")
        .join(fixture);
    let expected = std::fs::read_to_string(&expected_path).unwrap_or_default();
    if actual == expected {
        return;
    }
    let first_difference = actual
        .lines()
        .zip(expected.lines())
        .find(|(actual, expected)| actual != expected);
    panic!(
        "{fixture}: {} lines, expected {}; first difference (actual, expected): {first_difference:#?}; \
         all actual lines are in {}",
        actual.lines().count(),
        expected.lines().count(),
        actual_path.display()
    );
}
