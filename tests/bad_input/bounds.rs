//! Tests of well-formed submissions with values at their bounds or beyond them.

use super::messages::submission;
use super::mutations::encode;
use super::{Case, assert_fixture};
use rmpv::Value;
use umbervale::wire::{decode, user};

/// Returns a submission with the value of a field replaced.
fn submission_with(field: &str, value: Value) -> Value {
    let Value::Map(mut entries) = submission() else {
        unreachable!("a submission is a map");
    };
    let entry = entries
        .iter_mut()
        .find(|(key, _)| key.as_str() == Some(field));
    entry.expect("the field should be part of submissions").1 = value;
    Value::Map(entries)
}

/// Returns a list of `count` texts of `length` bytes each.
fn texts(count: usize, length: usize) -> Value {
    Value::Array(vec!["x".repeat(length).into(); count])
}

/// Returns a list of `count` job ids.
fn job_ids(count: usize) -> Value {
    let ids = (0..count).map(|number| Value::from(format!("run-{number}")));
    Value::Array(ids.collect())
}

/// A field, the name of a value at its bounds or beyond them, and the value.
type BoundedValue = (&'static str, String, Value);

fn id_values() -> Vec<BoundedValue> {
    let mut values = Vec::new();
    for id in [
        "",
        "run-",
        "run-0",
        "run-x",
        "run-1x",
        "run--1",
        "run- 1",
        "Run-1",
        "job-1",
        "run-\u{661}",
    ] {
        values.push(("uid", format!("{id:?}"), id.into()));
    }
    for digits in [20, 21] {
        let id = format!("run-{}", "1".repeat(digits));
        values.push(("uid", format!("{digits} digits"), id.into()));
    }
    values
}

fn text_values() -> Vec<BoundedValue> {
    let mut values = Vec::new();
    for field in ["docket", "crew", "plate", "yard"] {
        for length in [0, 1, 120, 121] {
            let text = "x".repeat(length).into();
            values.push((field, format!("{length} bytes"), text));
        }
        values.push((field, "120 bytes of 60".into(), "\u{e9}".repeat(60).into()));
        values.push((field, "122 bytes of 61".into(), "\u{e9}".repeat(61).into()));
    }
    values
}

fn number_values() -> Vec<BoundedValue> {
    let mut values = Vec::new();
    for tasks in [0, 1, 100_000, 100_001, u64::MAX] {
        values.push(("pieces", tasks.to_string(), tasks.into()));
    }
    for field in [
        "vcpus",
        "gpus",
        "memory_gb",
        "image_gb",
        "expected_s",
        "bookmark_s",
        "bookmark_cost_s",
        "due_s",
    ] {
        for amount in [
            0.0,
            -0.0,
            -1e-9,
            1e9,
            1e9 + 1.0,
            f64::MAX,
            f64::NAN,
            f64::INFINITY,
            f64::NEG_INFINITY,
        ] {
            values.push((field, format!("{amount:?}"), amount.into()));
        }
    }
    values
}

fn list_values() -> Vec<BoundedValue> {
    let mut values = Vec::new();
    for (name, types) in [
        ("none", texts(0, 0)),
        ("2048 bytes with marks in one", texts(1, 2044)),
        ("2049 bytes with marks in one", texts(1, 2045)),
        ("2048 bytes with marks in 512", texts(512, 0)),
        ("2052 bytes with marks in 513", texts(513, 0)),
    ] {
        values.push(("models", name.into(), types));
    }
    for count in [0, 64, 65] {
        values.push(("awaits", format!("{count} jobs"), job_ids(count)));
    }
    for id in ["", "run-x", "job-1"] {
        let ids = Value::Array(vec!["run-1".into(), id.into()]);
        values.push(("awaits", format!("run-1 and {id:?}"), ids));
    }
    let repeated = Value::Array(vec!["run-1".into(); 65]);
    values.push(("awaits", "one job 65 times".into(), repeated));
    values
}

/// Returns all values in the order of the fixture.
fn bounded_values() -> Vec<BoundedValue> {
    [id_values(), text_values(), number_values(), list_values()].concat()
}

#[test]
fn validation_errors_of_submissions_match_the_fixture() {
    let cases: Vec<Case> = bounded_values()
        .into_iter()
        .map(|(field, value_name, value)| {
            let body = encode(&submission_with(field, value));
            let job =
                decode::<user::JobSubmission>(&body).expect("the submission should be well-formed");
            Case::new(format!("{field}: {value_name}"), job.validate())
        })
        .collect();
    assert_fixture("submission_bounds.txt", &cases);
}
