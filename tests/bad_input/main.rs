//! The replies to bad input, to the letter.
//!
//! Every case has a name and an outcome: the text of the error, or [`ACCEPTED`]. The outcomes are kept
//! in `tests/fixtures/errors`, one line each: name, tab, outcome, with line breaks escaped. The cases
//! are written in terms of the protocol and the settings files, not of the types that read them, so
//! that renaming a type can't change a case together with its outcome.

// Helpers of a test may panic: that is how it fails.
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

/// The outcome of input that is not refused.
const ACCEPTED: &str = "accepted";

/// One input with what came of it.
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

    fn line(&self) -> String {
        format!("{}\t{}\n", escape(&self.name), escape(&self.outcome))
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\n', "\\n")
        .replace('\t', "\\t")
}

/// Compares the cases with a fixture, line by line. The lines as they are now are left in cargo's
/// directory for tests' files.
fn assert_fixture(fixture: &str, cases: &[Case]) {
    let names: BTreeSet<&str> = cases.iter().map(|case| case.name.as_str()).collect();
    assert_eq!(names.len(), cases.len(), "{fixture}: names are unique");
    let actual: String = cases.iter().map(Case::line).collect();
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(fixture);
    std::fs::write(&actual_path, &actual).unwrap();
    let expected_path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/errors")
        .join(fixture);
    let expected = std::fs::read_to_string(&expected_path).unwrap_or_default();
    if actual == expected {
        return;
    }
    let differing = actual
        .lines()
        .zip(expected.lines())
        .find(|(actual, expected)| actual != expected);
    panic!(
        "{fixture}: {} lines, expected {}; first that differs (actual, expected): {differing:#?}; \
         all actual lines are in {}",
        actual.lines().count(),
        expected.lines().count(),
        actual_path.display()
    );
}
