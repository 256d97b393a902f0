//! Tests of the messages exchanged with users.

use super::super::fixture_table::FixtureTable;
use super::{assert_decodes, assert_round_trip};
use umbervale::wire::encode;
use umbervale::wire::user::{JobKind, JobState, JobStatus, JobSubmission, Priority, Refusal};

/// Returns a submission without optional fields and with the smallest or zero amounts.
fn minimal_submission() -> JobSubmission {
    JobSubmission {
        id: "run-1".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: 0.0,
        image: "img-1".into(),
        image_gb: 0.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: false,
        expected_duration_s: 0.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}

/// Returns a submission with all optional fields.
pub(super) fn full_submission() -> JobSubmission {
    JobSubmission {
        id: "run-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 100_000,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into(), "c32".into()]),
        zone: Some("east".into()),
        single_zone: true,
        spread_zones: true,
        allows_spot: true,
        expected_duration_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 4.0,
        deadline_s: Some(900.0),
        depends_on: vec!["run-000410".into(), "run-000411".into()],
    }
}

#[test]
fn submissions_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/submissions.txt");
    assert_round_trip(&mut table, "minimal", &minimal_submission());
    assert_round_trip(&mut table, "full", &full_submission());
    for (name, kind) in [
        ("kind_array", JobKind::Array),
        ("kind_gang", JobKind::Gang),
        ("kind_service", JobKind::Service),
    ] {
        let submission = JobSubmission {
            kind,
            ..minimal_submission()
        };
        assert_round_trip(&mut table, name, &submission);
    }
    for (name, priority) in [
        ("priority_low", Priority::Low),
        ("priority_normal", Priority::Normal),
        ("priority_high", Priority::High),
        ("priority_production", Priority::Production),
    ] {
        let submission = JobSubmission {
            priority,
            ..minimal_submission()
        };
        assert_round_trip(&mut table, name, &submission);
    }
    let no_types = JobSubmission {
        machine_types: Some(Vec::new()),
        ..minimal_submission()
    };
    assert_round_trip(&mut table, "no_types", &no_types);
    assert_decodes(&mut table, "optional_left_out", &minimal_submission());
    assert_decodes(&mut table, "awaits_null", &minimal_submission());
    assert_decodes(&mut table, "awaits_repeated", &full_submission());
    assert_decodes(&mut table, "unknown_fields", &full_submission());
    assert_decodes(&mut table, "whole_amounts", &minimal_submission());
    table.finish();
}

#[test]
fn user_responses_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/user_answers.txt");
    let status = |state, counts: Option<(u64, u64)>| JobStatus {
        id: "run-000412".into(),
        state,
        completed_tasks: counts.map(|(done, _)| done),
        running_tasks: counts.map(|(_, running)| running),
    };
    for (name, state) in [
        ("queued", JobState::Queued),
        ("running", JobState::Running),
        ("done", JobState::Done),
        ("cancelled", JobState::Cancelled),
    ] {
        assert_round_trip(&mut table, name, &status(state, None));
        let with_counts = format!("{name}_with_counts");
        assert_round_trip(&mut table, &with_counts, &status(state, Some((3, 100_000))));
    }
    for (name, error) in [("refusal", "unknown team"), ("refusal_empty", "")] {
        // A `Refusal` can't be decoded, only encoded.
        assert_eq!(encode(&Refusal { error }), table.take_bytes(name), "{name}");
    }
    table.finish();
}
