use super::*;
use crate::wire::{decode, encode};

/// A valid submission with these values, and usual ones for all other fields.
pub(crate) fn job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    JobSubmission {
        id: id.into(),
        class: "train".into(),
        team: "vision".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 8.0,
        image: "img-1".into(),
        image_gb: 3.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: false,
        expected_duration_s: 60.0,
        checkpoint_interval_s: 10.0,
        checkpoint_cost_s: 2.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}

#[test]
fn submissions_are_checked() {
    assert!(job("run-000412", JobKind::Array, 3).validate().is_ok());
    let mut bad = vec![
        job("run-", JobKind::Array, 1),
        job("run-12x", JobKind::Array, 1),
        job("run-1", JobKind::Array, 0),
        job("run-1", JobKind::Array, 100_001),
    ];
    for cpus in [f64::NAN, f64::INFINITY, -1.0] {
        let mut submission = job("run-1", JobKind::Array, 1);
        submission.cpus = cpus;
        bad.push(submission);
    }
    let mut long = job("run-1", JobKind::Array, 1);
    long.machine_types = Some(vec!["x".repeat(3000)]);
    bad.push(long);
    for submission in bad {
        assert!(submission.validate().is_err(), "{submission:?}");
    }
}

/// Sets a field of the map, named as on the wire.
fn set_field(message: &mut rmpv::Value, name: &str, number: i64) {
    let rmpv::Value::Map(fields) = message else {
        panic!("not a map");
    };
    for (key, value) in fields {
        if key.as_str() == Some(name) {
            *value = number.into();
        }
    }
}

#[test]
fn numbers_may_be_whole_or_not_but_counts_are_whole() {
    let good = job("run-1", JobKind::Gang, 2);
    let mut message: rmpv::Value = rmp_serde::from_slice(&encode(&good)).unwrap();
    set_field(&mut message, "vcpus", 4);
    let read: JobSubmission = decode(&encode(&message)).unwrap();
    assert_eq!(read.cpus, 4.0);
    set_field(&mut message, "pieces", -2);
    assert!(decode::<JobSubmission>(&encode(&message)).is_err());
}
