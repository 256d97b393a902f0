use super::*;
use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::TaskSet;
use crate::wire::user::{JobKind, tests::job_submission};

#[test]
fn records_survive_the_state_service() {
    let record = JobRecord::new(
        job_submission("run-7", JobKind::Gang, 2),
        UnixTime::from_millis(1_700_000_000_000),
    );
    assert_eq!(read_job(job_value(&record)).unwrap(), record);
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
    let large = 100_000;
    assert_eq!(
        parse_progress_key(&progress_key(&"run-7".into(), large, 3)),
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

/// Records as the production version wrote them.
macro_rules! production {
    ($name:literal) => {
        fixture!("production", $name)
    };
}

/// Records as commit 7111968, the first version with pipelines, wrote them.
macro_rules! dependencies {
    ($name:literal) => {
        fixture!("pipelines", $name)
    };
}

fn stored<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    from_value(rmp_serde::from_slice(bytes).unwrap())
}

fn gang() -> JobRecord {
    let mut job = job_submission("run-7", JobKind::Gang, 2);
    job.machine_types = Some(vec!["g8".into()]);
    job.zone = Some("east".into());
    job.deadline_s = Some(900.0);
    JobRecord::new(job, UnixTime::from_millis(1_700_000_000_000))
}

/// What both versions have is written as the production version does, to the byte.
#[test]
fn records_of_the_production_version_are_read_and_written() {
    let both = |bytes: &[u8], record: Value| {
        assert_eq!(wire::encode(&record), bytes);
    };
    let open = production!("open");
    assert_eq!(stored::<JobRecord>(open), Some(gang()));
    both(open, job_value(&gang()));
    let cancelled: JobRecord = stored(production!("cancelled")).unwrap();
    assert!(cancelled.cancelled && !cancelled.waits());
    for (bytes, state) in [
        (production!("final_done"), JobState::Done),
        (production!("final_aborted"), JobState::Cancelled),
    ] {
        let last = FinalRecord { state, tasks: 2 };
        assert_eq!(stored::<FinalRecord>(bytes).as_ref(), Some(&last));
        both(bytes, final_value(&last));
    }
}

/// The leader's records and a round's, likewise.
#[test]
fn leaders_records_of_the_production_version_are_read_and_written() {
    let leader = LeaderRecord {
        node: "n1".into(),
        term: 7,
    };
    assert_eq!(
        stored::<LeaderRecord>(production!("lead")).as_ref(),
        Some(&leader)
    );
    assert_eq!(wire::encode(&to_value(&leader)), production!("lead"));
    let term = TermRecord { term: 7 };
    assert_eq!(
        stored::<TermRecord>(production!("term")).as_ref(),
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
        stored::<RoundRecord>(production!("round")).as_ref(),
        Some(&round)
    );
    assert_eq!(wire::encode(&to_value(&round)), production!("round"));
}

/// A large array's progress, in the larger chunks of the production version; a small one's record is
/// the same in both.
#[test]
fn progress_of_the_production_version_is_read() {
    let mut done = TaskSet::default();
    for (key, bytes) in [
        ("work/run-7/0", production!("work0")),
        ("work/run-7/1", production!("work1")),
    ] {
        let (_, first) = parse_progress_key(key).unwrap();
        let record: ProgressRecord = stored(bytes).unwrap();
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

/// The production version reads a job's record as this, and ignores what it does not know.
#[derive(Deserialize)]
struct Production {
    #[serde(rename = "job")]
    _job: serde::de::IgnoredAny,
    cancelled: bool,
}

/// To the production version a waiting job is one whose record can't be read, which it never starts;
/// one that may start, or is cancelled, it reads.
#[test]
fn the_production_version_never_takes_a_waiting_job_for_one_that_may_start() {
    let mut waiting = gang();
    waiting.job.depends_on = vec!["run-6".into()];
    let as_production = |record: &JobRecord| from_value::<Production>(job_value(record));
    assert!(as_production(&waiting).is_none());
    assert_eq!(read_job(job_value(&waiting)), Some(waiting.clone()));
    let ready = waiting
        .clone()
        .ready(UnixTime::from_millis(1_700_000_000_500));
    assert!(as_production(&ready).is_some_and(|record| !record.cancelled));
    assert_eq!(
        read_job(job_value(&ready)).unwrap().ready_at,
        ready.ready_at
    );
    let cancelled = waiting.cancelled();
    assert!(as_production(&cancelled).is_some_and(|record| record.cancelled));
}

/// A job of the first version with pipelines, submitted two seconds after its cluster began.
fn submitted(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobRecord {
    let mut job = job_submission(id, kind, tasks);
    job.expected_duration_s = 10.0;
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    JobRecord::new(job, UnixTime::from_millis(2_000))
}

/// The stored bytes say what the record says, and the record is written as these bytes.
#[track_caller]
fn reads_and_writes<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    record: &T,
) {
    assert_eq!(stored::<T>(bytes).as_ref(), Some(record));
    assert_eq!(wire::encode(&to_value(record)), bytes);
}

/// Guards against a job of a pipeline that is lost, or released twice or too early, because its
/// record reads otherwise in another version: waiting, for one job or two, released, called off, and
/// ended.
#[test]
fn records_of_jobs_in_pipelines_are_read_and_written_as_by_the_first_version_with_them() {
    let mut waiting = submitted("run-8", JobKind::Gang, 2, &["run-7"]);
    waiting.job.machine_types = Some(vec!["g8".into()]);
    waiting.job.deadline_s = Some(900.0);
    reads_and_writes(dependencies!("waiting"), &waiting);
    assert!(waiting.waits());
    let for_two = submitted("run-10", JobKind::Array, 4, &["run-8", "run-9"]);
    reads_and_writes(dependencies!("waiting_for_two"), &for_two);
    let called_off = submitted("run-9", JobKind::Array, 3, &["run-7"]).cancelled();
    reads_and_writes(dependencies!("waiting_cancelled"), &called_off);
    let ready_ms = stored::<JobRecord>(dependencies!("ready")).and_then(|record| record.ready_at);
    let ready = waiting.ready(ready_ms.expect("when it was released"));
    reads_and_writes(dependencies!("ready"), &ready);
    assert!(!ready.waits() && ready.ready_at > Some(ready.submitted_at));
    for (bytes, state, tasks) in [
        (dependencies!("final_done"), JobState::Done, 2),
        (
            dependencies!("final_aborted_dependant"),
            JobState::Cancelled,
            4,
        ),
    ] {
        reads_and_writes(bytes, &FinalRecord { state, tasks });
    }
}

/// Guards against finished tasks that another version's parts of an array don't tell of, or that
/// stand under a key that it does not read.
#[test]
fn progress_in_parts_is_read_and_written_as_by_the_first_version_with_pipelines() {
    let tasks = 4_200;
    let mut done = TaskSet::default();
    for (part, key, bytes) in [
        (0, "work/run-1/0p", dependencies!("work0p")),
        (1, "work/run-1/1p", dependencies!("work1p")),
    ] {
        assert_eq!(progress_key(&"run-1".into(), tasks, part), key);
        let (_, first) = parse_progress_key(key).unwrap();
        let record: ProgressRecord = stored(bytes).unwrap();
        done.insert_encoded_part(first, &record.done, tasks)
            .unwrap();
        let again = ProgressRecord {
            done: done.encode_part(part),
        };
        reads_and_writes(bytes, &again);
    }
    let missing: Vec<u32> = (0..tasks).filter(|task| !done.contains(*task)).collect();
    assert_eq!(missing, [3, 64, 4_095, 4_097, 4_199]);
}

/// Guards against a part of a round that another version takes for a round of its own, or misses.
#[test]
fn a_round_of_several_records_is_read_and_written_as_by_the_first_version_with_pipelines() {
    let number = 0x10_0001;
    let mut tasks = Vec::new();
    for (part, key, bytes) in [
        (0, "rounds/0000000000100001", dependencies!("round")),
        (1, "rounds/0000000000100001.1", dependencies!("round1")),
        (2, "rounds/0000000000100001.2", dependencies!("round2")),
    ] {
        assert_eq!(round_key(number, part), key);
        assert_eq!(parse_round_key(key), Some(number));
        let record: RoundRecord = stored(bytes).unwrap();
        reads_and_writes(bytes, &record);
        for start in record.starts {
            assert!(start.job == "run-1" && start.machine.starts_with("host-"));
            tasks.extend(start.tasks);
        }
    }
    tasks.sort_unstable();
    assert_eq!(tasks, (0..300).collect::<Vec<u32>>());
}
