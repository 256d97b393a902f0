//! Malformed messages, and the texts that refuse them.

use super::super::fixture_table::FixtureTable;
use super::users::full_job;
use super::workers::{full_heartbeat, task};
use rmpv::Value;
use serde::de::DeserializeOwned;
use umbervale::wire::user::JobSubmission;
use umbervale::wire::worker::{ExitReason, Heartbeat, Task, TaskState};
use umbervale::wire::{decode, encode};

/// Values that replace a field in a malformed body.
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

/// The error that the sender of a body gets.
fn outcome_of<T: DeserializeOwned>(body: &Value) -> String {
    match decode::<T>(&encode(body)) {
        Ok(_) => "accepted".into(),
        Err(error) => error.to_string(),
    }
}

/// Removes and damages each field of a message, one after the other, and compares the errors.
fn assert_damaged_fields<T: DeserializeOwned>(table: &mut FixtureTable, group: &str, good: &[u8]) {
    let good: Value = rmp_serde::from_slice(good).unwrap();
    let fields = good.as_map().unwrap();
    for (at, (key, _)) in fields.iter().enumerate() {
        let field = key.as_str().unwrap();
        let mut without = fields.clone();
        without.remove(at);
        let name = format!("{group}.{field}.missing");
        let text = outcome_of::<T>(&Value::Map(without));
        assert_eq!(text, table.take_text(&name), "{name}");
        for (form, value) in malformed_values() {
            let mut damaged = fields.clone();
            damaged[at].1 = value;
            let name = format!("{group}.{field}.{form}");
            let text = outcome_of::<T>(&Value::Map(damaged));
            assert_eq!(text, table.take_text(&name), "{name}");
        }
    }
}

#[test]
fn malformed_bodies_are_refused_with_the_texts_of_the_fixtures() {
    let mut table = FixtureTable::open("wire/malformed.txt");
    assert_damaged_fields::<JobSubmission>(&mut table, "submission", &encode(&full_job()));
    assert_damaged_fields::<Heartbeat>(&mut table, "report", &encode(&full_heartbeat()));
    let stopped = task(TaskState::Exited, Some(ExitReason::Stopped), Some(true));
    assert_damaged_fields::<Task>(&mut table, "task", &encode(&stopped));
    table.finish();
}
