use super::*;
use crate::wire::{decode, encode};

/// Returns a valid submission with these values and typical values in all other fields.
pub(crate) fn job_submission(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
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
fn invalid_submissions_are_rejected() {
    assert!(
        job_submission("run-000412", JobKind::Array, 3)
            .validate()
            .is_ok()
    );
    let mut invalid = vec![
        job_submission("run-", JobKind::Array, 1),
        job_submission("run-12x", JobKind::Array, 1),
        job_submission("run-1", JobKind::Array, 0),
        job_submission("run-1", JobKind::Array, 100_001),
    ];
    for cpus in [f64::NAN, f64::INFINITY, -1.0] {
        let mut submission = job_submission("run-1", JobKind::Array, 1);
        submission.cpus = cpus;
        invalid.push(submission);
    }
    let mut too_long = job_submission("run-1", JobKind::Array, 1);
    too_long.machine_types = Some(vec!["x".repeat(3000)]);
    invalid.push(too_long);
    for submission in invalid {
        assert!(submission.validate().is_err(), "{submission:?}");
    }
}

/// Sets a field of the encoded map; `name` is the field's name on the wire.
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
fn amounts_accept_integers_and_negative_counts_are_rejected() {
    let submission = job_submission("run-1", JobKind::Gang, 2);
    let mut message: rmpv::Value = rmp_serde::from_slice(&encode(&submission)).unwrap();
    set_field(&mut message, "vcpus", 4);
    let decoded: JobSubmission = decode(&encode(&message)).unwrap();
    assert_eq!(decoded.cpus, 4.0);
    set_field(&mut message, "pieces", -2);
    assert!(decode::<JobSubmission>(&encode(&message)).is_err());
}
