//! Checks the bytes and the key of every record in the state service against fixtures.
//!
//! The fixtures must not change: a difference means that this version can't read the records of a
//! running cluster.

use super::*;
use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::{JobId, TaskSet};
use crate::wire::user::{JobKind, Priority};
use fixture_table::FixtureTable;
use std::fmt::Debug;

#[path = "../../../tests/support/fixture_table.rs"]
mod fixture_table;

const SUBMITTED_AT: UnixTime = UnixTime::from_millis(1_700_000_000_000);
const READY_AT: UnixTime = UnixTime::from_millis(1_700_000_000_500);

fn minimal_job() -> JobSubmission {
    JobSubmission {
        id: "run-1".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Low,
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

/// A job with every field set except its dependencies.
fn full_job() -> JobSubmission {
    JobSubmission {
        id: "run-000412".into(),
        kind: JobKind::Gang,
        priority: Priority::Production,
        tasks: 100_000,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
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
        ..minimal_job()
    }
}

/// A job with every field set, blocked by two dependencies.
fn blocked_job() -> JobSubmission {
    JobSubmission {
        depends_on: vec!["run-000410".into(), "run-000411".into()],
        ..full_job()
    }
}

/// Asserts that the record encodes to the fixture's bytes, and that these bytes decode to the
/// record, both by way of a generic value and directly.
#[track_caller]
fn assert_round_trip<T>(table: &mut FixtureTable, name: &str, record: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let fixture = table.take_bytes(name);
    assert_eq!(wire::encode(&to_value(record)), fixture, "{name}");
    let stored: Value = rmp_serde::from_slice(&fixture).unwrap();
    assert_eq!(from_value::<T>(stored).as_ref(), Some(record), "{name}");
    assert_eq!(
        wire::decode::<T>(&fixture).ok().as_ref(),
        Some(record),
        "{name}"
    );
}

#[test]
fn job_records_match_fixtures_in_both_directions() {
    let mut table = FixtureTable::open("records/jobs.txt");
    let submitted = |job| JobRecord::new(job, SUBMITTED_AT);
    let every_field = JobRecord {
        job: full_job(),
        submitted_at: SUBMITTED_AT,
        cancelled: true,
        ready_at: Some(READY_AT),
    };
    for (name, record) in [
        (
            "minimal",
            JobRecord::new(minimal_job(), UnixTime::from_millis(0)),
        ),
        ("plain", submitted(full_job())),
        ("every_field", every_field),
        ("cancelled", submitted(full_job()).cancelled()),
        ("waiting", submitted(blocked_job())),
        ("waiting_cancelled", submitted(blocked_job()).cancelled()),
        ("ready", submitted(blocked_job()).ready(READY_AT)),
        (
            "ready_cancelled",
            submitted(blocked_job()).ready(READY_AT).cancelled(),
        ),
    ] {
        assert_round_trip(&mut table, name, &record);
        let written = wire::encode(&job_value(&record));
        assert_eq!(written, wire::encode(&to_value(&record)), "{name}");
        assert_eq!(decode_job(job_value(&record)), Some(record), "{name}");
    }
    // A record with neither `job` nor `step` is rejected.
    let neither = table.take_bytes("neither");
    let error_text = wire::decode::<JobRecord>(&neither).unwrap_err().to_string();
    assert_eq!(error_text, table.take_text("neither_error"));
    table.finish();
}

fn start_record(job: &str, machine: &str, tasks: Vec<u32>) -> StartRecord {
    StartRecord {
        job: job.into(),
        machine: machine.into(),
        tasks,
    }
}

#[test]
fn other_records_match_fixtures_in_both_directions() {
    let mut table = FixtureTable::open("records/others.txt");
    for (name, state) in [
        ("final_queued", JobState::Queued),
        ("final_running", JobState::Running),
        ("final_done", JobState::Done),
        ("final_cancelled", JobState::Cancelled),
    ] {
        let record = FinalRecord {
            state,
            tasks: 100_000,
        };
        assert_round_trip(&mut table, name, &record);
        assert_eq!(decode_final(final_value(&record)), Some(record), "{name}");
    }
    let leader = LeaderRecord {
        node: "drone-1".into(),
        term: 1 << 40,
    };
    assert_round_trip(&mut table, "lead", &leader);
    assert_round_trip(&mut table, "term", &TermRecord { term: u64::MAX });
    let round = RoundRecord {
        starts: vec![
            start_record("run-000412", "host-000231", vec![0, 1, 99_999]),
            start_record("run-7", "host-000232", Vec::new()),
        ],
    };
    assert_round_trip(&mut table, "round", &round);
    let empty_round = RoundRecord { starts: Vec::new() };
    assert_round_trip(&mut table, "round_empty", &empty_round);
    let mut done = TaskSet::full(PROGRESS_RECORD_TASKS + 70);
    done.remove(3);
    done.remove(PROGRESS_RECORD_TASKS + 64);
    for (name, part) in [("work", 0), ("work_part_1", 1), ("work_empty", 2)] {
        let done = done.encode_part(part);
        assert_round_trip(&mut table, name, &ProgressRecord { done });
    }
    table.finish();
}

#[test]
fn job_end_transactions_match_fixtures() {
    let mut table = FixtureTable::open("records/ends.txt");
    for (name, state) in [("done", JobState::Done), ("cancelled", JobState::Cancelled)] {
        let txn = add_job_end(Transaction::default(), "run-000412", 41, state, 16);
        assert_eq!(wire::encode(&txn), table.take_bytes(name), "{name}");
    }
    table.finish();
}

#[test]
fn built_keys_match_fixtures() {
    let mut table = FixtureTable::open("records/keys.txt");
    let id = JobId::from("run-000412");
    let large_array_tasks = 100_000;
    for (name, key) in [
        ("live", LIVE_PREFIX.to_owned()),
        ("lead", LEADER_KEY.to_owned()),
        ("jobs", JOB_PREFIX.to_owned()),
        ("term", TERM_KEY.to_owned()),
        ("all_work", PROGRESS_PREFIX.to_owned()),
        ("all_rounds", ROUND_PREFIX.to_owned()),
        ("job", job_key("run-000412")),
        ("final", final_key("run-000412")),
        ("work_small", progress_key(&id, 1, 0)),
        (
            "work_largest_small",
            progress_key(&id, PROGRESS_RECORD_TASKS, 0),
        ),
        (
            "work_smallest_large",
            progress_key(&id, PROGRESS_RECORD_TASKS + 1, 0),
        ),
        ("work_part", progress_key(&id, large_array_tasks, 3)),
        ("round", round_key(0x10_0001, 0)),
        ("round_part", round_key(0x10_0001, 12)),
        ("round_largest", round_key(u64::MAX, 0)),
    ] {
        assert_eq!(key, table.take_text(name), "{name}");
    }
    table.finish();
}

#[test]
fn parsed_keys_match_fixtures() {
    let mut table = FixtureTable::open("records/read_keys.txt");
    let id = JobId::from("run-000412");
    for (name, first_task) in [
        ("work_small", 0),
        ("work_part", 3 * PROGRESS_RECORD_TASKS),
        ("work_old_chunk", 12 * LEGACY_PROGRESS_RECORD_TASKS),
    ] {
        let key = table.take_text(name);
        assert_eq!(
            parse_progress_key(&key),
            Some((id.clone(), first_task)),
            "{name}"
        );
    }
    for name in ["work_not_a_part", "work_overflow", "work_of_another_prefix"] {
        assert_eq!(parse_progress_key(&table.take_text(name)), None, "{name}");
    }
    for (name, number) in [
        ("round", 0x10_0001),
        ("round_part", 0x10_0001),
        ("round_largest", u64::MAX),
    ] {
        assert_eq!(
            parse_round_key(&table.take_text(name)),
            Some(number),
            "{name}"
        );
    }
    for name in ["round_not_a_number", "round_of_another_prefix"] {
        assert_eq!(parse_round_key(&table.take_text(name)), None, "{name}");
    }
    table.finish();
}
