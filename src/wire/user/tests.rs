use super::*;

pub fn job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
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
        let mut one = job("run-1", JobKind::Array, 1);
        one.cpus = cpus;
        bad.push(one);
    }
    let mut long = job("run-1", JobKind::Array, 1);
    long.machine_types = Some(vec!["x".repeat(3000)]);
    bad.push(long);
    for one in bad {
        assert!(one.validate().is_err(), "{one:?}");
    }
}

#[test]
fn numbers_may_be_whole_or_not_but_counts_are_whole() {
    let good = job("run-1", JobKind::Gang, 2);
    let mut value: rmpv::Value = rmp_serde::from_slice(&crate::wire::encode(&good)).unwrap();
    let map = match &mut value {
        rmpv::Value::Map(m) => m,
        _ => panic!("not a map"),
    };
    let field = |map: &mut Vec<(rmpv::Value, rmpv::Value)>, name: &str, to: rmpv::Value| {
        for (k, v) in map.iter_mut() {
            if k.as_str() == Some(name) {
                *v = to.clone();
            }
        }
    };
    field(map, "vcpus", rmpv::Value::from(4));
    let read: JobSubmission = crate::wire::decode(&crate::wire::encode(&value)).unwrap();
    assert_eq!(read.cpus, 4.0);
    let map = match &mut value {
        rmpv::Value::Map(m) => m,
        _ => panic!("not a map"),
    };
    field(map, "pieces", rmpv::Value::from(-2));
    assert!(crate::wire::decode::<JobSubmission>(&crate::wire::encode(&value)).is_err());
}
