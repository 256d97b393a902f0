use super::*;
use crate::wire::user::{Kind, tests::job};

#[test]
fn records_survive_the_state_service() {
    let record = JobRecord {
        job: job("run-7", Kind::Gang, 2),
        at_ms: 1_700_000_000_000,
        cancelled: false,
    };
    assert_eq!(read_job(job_value(&record)).unwrap(), record);
    let round = RoundRecord {
        starts: vec![("run-7".into(), "host-1".into(), vec![0, 1])],
    };
    assert_eq!(read::<RoundRecord>(value(&round)).unwrap(), round);
    assert_eq!(round_of_key(&round_key(1 << 40, 0)), Some(1 << 40));
    assert_eq!(round_of_key(&round_key(1 << 40, 3)), Some(1 << 40));
    assert_eq!(work_of_key("work/run-7/2"), Some(("run-7".into(), 2)));
    assert!(read::<RoundRecord>(Value::from("x")).is_none());
}
