use super::*;
use crate::model::TaskSet;
use crate::wire::user::{Kind, tests::job};

#[test]
fn records_survive_the_state_service() {
    let record = JobRecord::new(job("run-7", Kind::Gang, 2), 1_700_000_000_000);
    assert_eq!(read_job(job_value(&record)).unwrap(), record);
    let round = RoundRecord {
        starts: vec![("run-7".into(), "host-1".into(), vec![0, 1])],
    };
    assert_eq!(read::<RoundRecord>(value(&round)).unwrap(), round);
    assert_eq!(round_of_key(&round_key(1 << 40, 0)), Some(1 << 40));
    assert_eq!(round_of_key(&round_key(1 << 40, 3)), Some(1 << 40));
    assert_eq!(
        work_of_key("work/run-7/2"),
        Some(("run-7".into(), 2 * DONE_CHUNK))
    );
    let large = 100_000;
    assert_eq!(
        work_of_key(&work_key(&"run-7".into(), large, 3)),
        Some(("run-7".into(), 3 * DONE_PART))
    );
    assert!(read::<RoundRecord>(Value::from("x")).is_none());
}

/// Records as the production version wrote them.
macro_rules! production {
    ($name:literal) => {
        include_bytes!(concat!(
            "../../../tests/fixtures/production/",
            $name,
            ".msgpack"
        ))
        .as_slice()
    };
}

fn stored<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    read(rmp_serde::from_slice(bytes).unwrap())
}

fn gang() -> JobRecord {
    let mut job = job("run-7", Kind::Gang, 2);
    job.types = Some(vec!["g8".into()]);
    job.zone = Some("east".into());
    job.deadline_s = Some(900.0);
    JobRecord::new(job, 1_700_000_000_000)
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
    let lead = LeadRecord {
        node: "n1".into(),
        term: 7,
    };
    assert_eq!(
        stored::<LeadRecord>(production!("lead")).as_ref(),
        Some(&lead)
    );
    both(production!("lead"), value(&lead));
    let term = TermRecord { term: 7 };
    assert_eq!(
        stored::<TermRecord>(production!("term")).as_ref(),
        Some(&term)
    );
    both(production!("term"), value(&term));
    let round = RoundRecord {
        starts: vec![("run-7".into(), "host-1".into(), vec![0, 1])],
    };
    assert_eq!(
        stored::<RoundRecord>(production!("round")).as_ref(),
        Some(&round)
    );
    both(production!("round"), value(&round));
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
        let (_, first) = work_of_key(key).unwrap();
        let record: WorkRecord = stored(bytes).unwrap();
        done.add_text(first, &record.done, 10_000).unwrap();
    }
    let expected = [0, 5_000, DONE_CHUNK + 70];
    assert_eq!(done.iter().collect::<Vec<_>>(), expected);
    assert_eq!(work_key(&"run-7".into(), DONE_PART, 0), "work/run-7/0");
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
    waiting.job.awaits = vec!["run-6".into()];
    let as_production = |record: &JobRecord| read::<Production>(job_value(record));
    assert!(as_production(&waiting).is_none());
    assert_eq!(read_job(job_value(&waiting)), Some(waiting.clone()));
    let ready = waiting.clone().ready(1_700_000_000_500);
    assert!(as_production(&ready).is_some_and(|r| !r.cancelled));
    assert_eq!(
        read_job(job_value(&ready)).unwrap().ready_ms,
        ready.ready_ms
    );
    let cancelled = waiting.cancelled();
    assert!(as_production(&cancelled).is_some_and(|r| r.cancelled));
}
