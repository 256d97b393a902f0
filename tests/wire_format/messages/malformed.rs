//! Tests of malformed messages and the error texts that refuse them.

use super::super::fixture_table::FixtureTable;
use super::users::full_submission;
use super::workers::{full_heartbeat, task};
use rmpv::Value;
use serde::de::DeserializeOwned;
use umbervale::wire::user::JobSubmission;
use umbervale::wire::worker::{ExitReason, Heartbeat, Task, TaskState};
use umbervale::wire::{decode, encode};

/// Returns the values that replace the value of each field in turn, with names of their types.
fn malformed_values() -> Vec<(&'static str, Value)> {
    vec![
        ("null", Value::Nil),
        ("flag", true.into()),
        ("number", 7.into()),
        ("below_zero", (-1).into()),
        ("amount", 0.5.into()),
        ("text", "other".into()),
        ("list", Value::Array(vec![Value::Nil])),
        ("map", Value::Map(vec![("key".into(), Value::Nil)])),
    ]
}

/// Returns the error text that the sender of a body receives, or `accepted` if the body is decoded.
fn decode_outcome<T: DeserializeOwned>(body: &Value) -> String {
    match decode::<T>(&encode(body)) {
        Ok(_) => "accepted".into(),
        Err(error) => error.to_string(),
    }
}

/// Removes each field of a valid body, replaces each field's value by malformed ones, and asserts for
/// each of these bodies that the outcome matches the fixture.
fn assert_damaged_fields_match<T: DeserializeOwned>(
    table: &mut FixtureTable,
    group: &str,
    valid_body: &[u8],
) {
    let valid_body: Value = rmp_serde::from_slice(valid_body).unwrap();
    let fields = valid_body.as_map().unwrap();
    for (index, (key, _)) in fields.iter().enumerate() {
        let field = key.as_str().unwrap();
        let mut remaining_fields = fields.clone();
        remaining_fields.remove(index);
        let name = format!("{group}.{field}.missing");
        let text = decode_outcome::<T>(&Value::Map(remaining_fields));
        assert_eq!(text, table.take_text(&name), "{name}");
        for (value_type, value) in malformed_values() {
            let mut damaged_fields = fields.clone();
            damaged_fields[index].1 = value;
            let name = format!("{group}.{field}.{value_type}");
            let text = decode_outcome::<T>(&Value::Map(damaged_fields));
            assert_eq!(text, table.take_text(&name), "{name}");
        }
    }
}

#[test]
fn malformed_bodies_are_refused_with_the_texts_of_the_fixtures() {
    let mut table = FixtureTable::open("wire/malformed.txt");
    assert_damaged_fields_match::<JobSubmission>(
        &mut table,
        "submission",
        &encode(&full_submission()),
    );
    assert_damaged_fields_match::<Heartbeat>(&mut table, "report", &encode(&full_heartbeat()));
    let stopped = task(TaskState::Exited, Some(ExitReason::Stopped), Some(true));
    assert_damaged_fields_match::<Task>(&mut table, "task", &encode(&stopped));
    table.finish();
}
