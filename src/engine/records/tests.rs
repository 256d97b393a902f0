use super::*;
use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::TaskSet;
use crate::wire::user::{JobKind, tests::job_submission};

#[test]
fn records_and_keys_round_trip_through_the_state_service() {
    let record = JobRecord::new(
        job_submission("run-7", JobKind::Gang, 2),
        UnixTime::from_millis(1_700_000_000_000),
    );
    assert_eq!(decode_job(job_value(&record)).unwrap(), record);
    let round = RoundRecord {
        starts: vec![StartRecord {
            job: "run-7".into(),
            machine: "host-1".into(),
            tasks: vec![0, 1],
        }],
    };
    assert_eq!(from_value::<RoundRecord>(to_value(&round)).unwrap(), round);
    assert_eq!(parse_round_key(&round_key(1 << 40, 0)), Some(1 << 40));
    assert_eq!(parse_round_key(&round_key(1 << 40, 3)), Some(1 << 40));
    assert_eq!(
        parse_progress_key("work/run-7/2"),
        Some(("run-7".into(), 2 * LEGACY_PROGRESS_RECORD_TASKS))
    );
    let large_array_tasks = 100_000;
    assert_eq!(
        parse_progress_key(&progress_key(&"run-7".into(), large_array_tasks, 3)),
        Some(("run-7".into(), 3 * PROGRESS_RECORD_TASKS))
    );
    assert!(from_value::<RoundRecord>(Value::from("x")).is_none());
}

macro_rules! fixture {
    ($directory:literal, $name:literal) => {
        include_bytes!(concat!(
            "../../../tests/fixtures/",
            $directory,
            "/",
            $name,
            ".msgpack"
        ))
        .as_slice()
    };
}

/// Bytes of a record as written by the production version, the version before dependencies.
macro_rules! production {
    ($name:literal) => {
        fixture!("production", $name)
    };
}

/// Bytes of a record as written by commit 7111968, the first version with dependencies.
macro_rules! dependencies {
    ($name:literal) => {
        fixture!("pipelines", $name)
    };
}

fn decode_stored<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    from_value(rmp_serde::from_slice(bytes).unwrap())
}

fn gang_record() -> JobRecord {
    let mut job = job_submission("run-7", JobKind::Gang, 2);
    job.machine_types = Some(vec!["g8".into()]);
    job.zone = Some("east".into());
    job.deadline_s = Some(900.0);
    JobRecord::new(job, UnixTime::from_millis(1_700_000_000_000))
}

/// Records that both versions have are written byte for byte as by the production version.
#[test]
fn job_and_final_records_match_the_production_version() {
    let assert_encoded_as = |bytes: &[u8], record: Value| {
        assert_eq!(wire::encode(&record), bytes);
    };
    let open = production!("open");
    assert_eq!(decode_stored::<JobRecord>(open), Some(gang_record()));
    assert_encoded_as(open, job_value(&gang_record()));
    let cancelled: JobRecord = decode_stored(production!("cancelled")).unwrap();
    assert!(cancelled.cancelled && !cancelled.is_blocked());
    for (bytes, state) in [
        (production!("final_done"), JobState::Done),
        (production!("final_aborted"), JobState::Cancelled),
    ] {
        let final_record = FinalRecord { state, tasks: 2 };
        assert_eq!(
            decode_stored::<FinalRecord>(bytes).as_ref(),
            Some(&final_record)
        );
        assert_encoded_as(bytes, final_value(&final_record));
    }
}

/// The records of the leader, the term and a round are written byte for byte as by the production
/// version.
#[test]
fn leader_term_and_round_records_match_the_production_version() {
    let leader = LeaderRecord {
        node: "n1".into(),
        term: 7,
    };
    assert_eq!(
        decode_stored::<LeaderRecord>(production!("lead")).as_ref(),
        Some(&leader)
    );
    assert_eq!(wire::encode(&to_value(&leader)), production!("lead"));
    let term = TermRecord { term: 7 };
    assert_eq!(
        decode_stored::<TermRecord>(production!("term")).as_ref(),
        Some(&term)
    );
    assert_eq!(wire::encode(&to_value(&term)), production!("term"));
    let round = RoundRecord {
        starts: vec![StartRecord {
            job: "run-7".into(),
            machine: "host-1".into(),
            tasks: vec![0, 1],
        }],
    };
    assert_eq!(
        decode_stored::<RoundRecord>(production!("round")).as_ref(),
        Some(&round)
    );
    assert_eq!(wire::encode(&to_value(&round)), production!("round"));
}

/// The production version stores the progress of a large array in larger chunks. The record of a
/// small array has the same key in both versions.
#[test]
fn progress_records_of_the_production_version_are_read() {
    let mut done = TaskSet::default();
    for (key, bytes) in [
        ("work/run-7/0", production!("work0")),
        ("work/run-7/1", production!("work1")),
    ] {
        let (_, first) = parse_progress_key(key).unwrap();
        let record: ProgressRecord = decode_stored(bytes).unwrap();
        done.insert_encoded_part(first, &record.done, 10_000)
            .unwrap();
    }
    let expected = [0, 5_000, LEGACY_PROGRESS_RECORD_TASKS + 70];
    assert_eq!(done.iter().collect::<Vec<_>>(), expected);
    assert_eq!(
        progress_key(&"run-7".into(), PROGRESS_RECORD_TASKS, 0),
        "work/run-7/0"
    );
}

/// The fields of a job's record that the production version requires. It ignores unknown fields.
#[derive(Deserialize)]
struct ProductionJobRecord {
    #[serde(rename = "job")]
    _job: serde::de::IgnoredAny,
    cancelled: bool,
}

/// The production version can't decode the record of a blocked job, and therefore never starts it.
/// It can decode the record of a job that may start or is cancelled.
#[test]
fn production_version_decodes_job_record_only_if_the_job_is_not_blocked() {
    let mut waiting = gang_record();
    waiting.job.depends_on = vec!["run-6".into()];
    let decode_as_production =
        |record: &JobRecord| from_value::<ProductionJobRecord>(job_value(record));
    assert!(decode_as_production(&waiting).is_none());
    assert_eq!(decode_job(job_value(&waiting)), Some(waiting.clone()));
    let ready = waiting
        .clone()
        .ready(UnixTime::from_millis(1_700_000_000_500));
    assert!(decode_as_production(&ready).is_some_and(|record| !record.cancelled));
    assert_eq!(
        decode_job(job_value(&ready)).unwrap().ready_at,
        ready.ready_at
    );
    let cancelled = waiting.cancelled();
    assert!(decode_as_production(&cancelled).is_some_and(|record| record.cancelled));
}

/// Returns the record of a job submitted 2 s after the start of the cluster that wrote the fixtures
/// of the first version with dependencies.
fn job_record(id: &str, kind: JobKind, tasks: u64, depends_on: &[&str]) -> JobRecord {
    let mut job = job_submission(id, kind, tasks);
    job.expected_duration_s = 10.0;
    job.depends_on = depends_on.iter().map(|id| (*id).to_owned()).collect();
    JobRecord::new(job, UnixTime::from_millis(2_000))
}

/// Asserts that the stored bytes decode to the record, and that the record encodes to these bytes.
#[track_caller]
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    record: &T,
) {
    assert_eq!(decode_stored::<T>(bytes).as_ref(), Some(record));
    assert_eq!(wire::encode(&to_value(record)), bytes);
}

/// Guards against a job with dependencies that is lost, or unblocked twice or too early, because
/// another version decodes its record differently. Covers jobs blocked by one and by two
/// dependencies, unblocked jobs, cancelled jobs, and the final records of a done job and a
/// cancelled dependent.
#[test]
fn job_records_with_dependencies_match_the_first_version_that_has_them() {
    let mut waiting = job_record("run-8", JobKind::Gang, 2, &["run-7"]);
    waiting.job.machine_types = Some(vec!["g8".into()]);
    waiting.job.deadline_s = Some(900.0);
    assert_round_trip(dependencies!("waiting"), &waiting);
    assert!(waiting.is_blocked());
    let with_two_dependencies = job_record("run-10", JobKind::Array, 4, &["run-8", "run-9"]);
    assert_round_trip(dependencies!("waiting_for_two"), &with_two_dependencies);
    let cancelled = job_record("run-9", JobKind::Array, 3, &["run-7"]).cancelled();
    assert_round_trip(dependencies!("waiting_cancelled"), &cancelled);
    let ready_at =
        decode_stored::<JobRecord>(dependencies!("ready")).and_then(|record| record.ready_at);
    let ready = waiting.ready(ready_at.expect("time at which the job became ready"));
    assert_round_trip(dependencies!("ready"), &ready);
    assert!(!ready.is_blocked() && ready.ready_at > Some(ready.submitted_at));
    for (bytes, state, tasks) in [
        (dependencies!("final_done"), JobState::Done, 2),
        (
            dependencies!("final_aborted_dependant"),
            JobState::Cancelled,
            4,
        ),
    ] {
        assert_round_trip(bytes, &FinalRecord { state, tasks });
    }
}

/// Guards against the loss of completed tasks because another version divides an array into other
/// parts or reads other keys.
#[test]
fn progress_parts_match_the_first_version_with_dependencies() {
    let tasks = 4_200;
    let mut done = TaskSet::default();
    for (part, key, bytes) in [
        (0, "work/run-1/0p", dependencies!("work0p")),
        (1, "work/run-1/1p", dependencies!("work1p")),
    ] {
        assert_eq!(progress_key(&"run-1".into(), tasks, part), key);
        let (_, first) = parse_progress_key(key).unwrap();
        let record: ProgressRecord = decode_stored(bytes).unwrap();
        done.insert_encoded_part(first, &record.done, tasks)
            .unwrap();
        let rewritten = ProgressRecord {
            done: done.encode_part(part),
        };
        assert_round_trip(bytes, &rewritten);
    }
    let missing: Vec<u32> = (0..tasks).filter(|task| !done.contains(*task)).collect();
    assert_eq!(missing, [3, 64, 4_095, 4_097, 4_199]);
}

/// Guards against a part of a round that another version does not read, or takes for a separate
/// round.
#[test]
fn round_in_several_records_matches_the_first_version_with_dependencies() {
    let number = 0x10_0001;
    let mut tasks = Vec::new();
    for (part, key, bytes) in [
        (0, "rounds/0000000000100001", dependencies!("round")),
        (1, "rounds/0000000000100001.1", dependencies!("round1")),
        (2, "rounds/0000000000100001.2", dependencies!("round2")),
    ] {
        assert_eq!(round_key(number, part), key);
        assert_eq!(parse_round_key(key), Some(number));
        let record: RoundRecord = decode_stored(bytes).unwrap();
        assert_round_trip(bytes, &record);
        for start in record.starts {
            assert!(start.job == "run-1" && start.machine.starts_with("host-"));
            tasks.extend(start.tasks);
        }
    }
    tasks.sort_unstable();
    assert_eq!(tasks, (0..300).collect::<Vec<u32>>());
}
