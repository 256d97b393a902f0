use super::*;
use crate::model::{Job, JobId, JobPhase, JobSpec, MachineType, MachineTypes, Resources};
use crate::model::{Timestamp, UnixTime};
use crate::placement::TasksByZone;
use crate::settings::{ObjectiveKind, ServiceLevelObjective};
use crate::wire::user::{JobKind, JobSubmission, tests::job_submission};
use std::time::Duration;

/// Two types in two zones: the big one has four times the GPUs of the small one at twice the price.
fn machine_types() -> MachineTypes {
    let machine_type = |name: &str, gpus: f64, price: f64| MachineType {
        name: name.into(),
        capacity: Resources::capacity(64.0, gpus, 512.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 0.2,
        price,
        spot_price: price / 3.0,
        boot_time: Duration::from_secs(30),
        zones: vec!["east".into(), "west".into()],
    };
    [
        machine_type("big", 8.0, 8.0),
        machine_type("small", 2.0, 4.0),
    ]
    .into_iter()
    .map(|machine_type| (machine_type.name.clone(), machine_type))
    .collect()
}

/// What is rented for a job without any machine there; `change` changes its submission.
fn rentals(
    kind: JobKind,
    tasks: u32,
    refused: &[MachineOffer],
    change: impl Fn(&mut JobSubmission),
) -> Vec<(MachineOffer, u64)> {
    let mut submission = job_submission("run-1", kind, tasks.into());
    change(&mut submission);
    let job = Job::new(
        JobSpec::from(&submission),
        1,
        UnixTime::from_millis(0),
        JobPhase::Open,
        Timestamp::from_millis(0),
    );
    let types = machine_types();
    let offers = available_offers(&types, &refused.iter().cloned().collect(), true);
    let waiting = [WaitingJob {
        job: &job,
        tasks,
        placed_by_zone: TasksByZone::new(),
    }];
    scaling_plan(&waiting, Vec::new(), &types, &offers, 50)
        .rent
        .into_iter()
        .collect()
}

#[test]
fn the_cheapest_share_is_rented_and_filled() {
    let rented = rentals(JobKind::Array, 9, &[], |_| {});
    assert_eq!(rented.len(), 1);
    let (offer, count) = &rented[0];
    assert_eq!(
        (&*offer.machine_type, offer.spot, *count),
        ("big", false, 2)
    );
    let rented = rentals(JobKind::Array, 1, &[], |submission| {
        submission.allows_spot = true
    });
    assert!(rented[0].0.spot);
}

#[test]
fn refused_offers_are_passed_over_and_gangs_stay_in_one_zone() {
    let big_east = MachineOffer {
        machine_type: "big".into(),
        zone: "east".into(),
        spot: false,
    };
    let rented = rentals(JobKind::Gang, 12, &[big_east], |submission| {
        submission.single_zone = true
    });
    assert_eq!(rented.len(), 1);
    let (offer, count) = &rented[0];
    assert_eq!((&*offer.zone, *count), ("west", 2));
    let rented = rentals(JobKind::Service, 4, &[], |submission| {
        submission.spread_zones = true
    });
    assert_eq!(rented.len(), 2, "a spread service needs both zones");
}

/// Jobs of the class "train" are to start within 20 s: sooner than a machine boots.
fn start_objective() -> ServiceLevelObjective {
    ServiceLevelObjective {
        kind: ObjectiveKind::Wait,
        class: Some("train".into()),
        within: Some(Duration::from_secs(20)),
    }
}

/// Arrivals at regular intervals; times are unix times, ms.
struct RegularArrivals {
    count: u64,
    first_ms: u64,
    interval_ms: u64,
}

fn record_arrivals(
    history: &mut ArrivalHistory,
    spec: &JobSpec,
    id_prefix: &str,
    arrivals: RegularArrivals,
) {
    for number in 0..arrivals.count {
        let id = JobId::from(&*format!("{id_prefix}{number}"));
        let ready_at_ms = arrivals.first_ms + number * arrivals.interval_ms;
        history.record(UnixTime::from_millis(ready_at_ms), &id, spec);
    }
}

fn expected_jobs(history: &ArrivalHistory, now_ms: u64) -> usize {
    let objectives = [start_objective()];
    history
        .expected(UnixTime::from_millis(now_ms), &machine_types(), &objectives)
        .len()
}

/// A node that has just started learns of all open jobs at once; they count by their own times.
#[test]
fn jobs_from_before_a_restart_are_no_arrivals() {
    let spec = JobSpec::from(&job_submission("run-1", JobKind::Service, 1));
    let mut history = ArrivalHistory::default();
    record_arrivals(
        &mut history,
        &spec,
        "run-",
        RegularArrivals {
            count: 30,
            first_ms: 1_000_000,
            interval_ms: 1,
        },
    );
    assert_eq!(expected_jobs(&history, 1_400_000), 0);
    record_arrivals(
        &mut history,
        &spec,
        "run-9",
        RegularArrivals {
            count: 18,
            first_ms: 1_220_000,
            interval_ms: 10_000,
        },
    );
    // One in 10 s, and 45 s (with a margin of a half) from renting to running: 7.
    assert_eq!(expected_jobs(&history, 1_400_000), 7);
}

/// One job in 2 s; 30 s for a boot and 15 s for the image, with a margin of a half 67.5 s for both.
#[test]
fn short_jobs_leave_their_room_to_the_next_ones() {
    let expected = |kind, expected_duration_s| {
        let mut submission = job_submission("run-1", kind, 1);
        submission.expected_duration_s = expected_duration_s;
        let spec = JobSpec::from(&submission);
        let mut history = ArrivalHistory::default();
        record_arrivals(
            &mut history,
            &spec,
            "run-",
            RegularArrivals {
                count: 90,
                first_ms: 1_000_000,
                interval_ms: 2_000,
            },
        );
        expected_jobs(&history, 1_180_000)
    };
    assert_eq!(expected(JobKind::Array, 9.0), 12, "as many as run at once");
    assert_eq!(
        expected(JobKind::Array, 900.0),
        34,
        "all that arrive meanwhile"
    );
    assert_eq!(
        expected(JobKind::Service, 0.0),
        34,
        "services end when told to"
    );
}
