use super::*;

#[test]
fn demand_is_rounded_up_and_capacity_fits_exact_multiples() {
    assert_eq!(Resources::demand(0.1 + 0.2, 0.0, 0.0).cpus, 300);
    assert_eq!(Resources::demand(0.3001, 0.0, 0.0).cpus, 301);
    assert_eq!(Resources::capacity(96.0, 0.0, 0.0).cpus, 96_000);
    let ten_requests = Resources::demand(9.6, 0.8, 57.6).times(10);
    assert!(ten_requests.fits_in(Resources::capacity(96.0, 8.0, 576.0)));
}

#[test]
fn task_ids_round_trip_and_malformed_ones_are_rejected() {
    let task = TaskId::parse("run-000412/3").unwrap();
    assert_eq!((&*task.job.0, task.index), ("run-000412", 3));
    assert_eq!(task.to_string(), "run-000412/3");
    assert!(TaskId::parse("run-000412").is_none());
    assert!(TaskId::parse("run-000412/x").is_none());
}
