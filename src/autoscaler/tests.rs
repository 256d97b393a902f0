use super::*;
use crate::model::{Job, JobId, JobPhase, JobSpec, MachineType, MachineTypes, Resources};
use crate::model::{Timestamp, UnixTime};
use crate::placement::TasksByZone;
use crate::settings::{ObjectiveKind, ServiceLevelObjective};
use crate::wire::user::{JobKind, JobSubmission, tests::job_submission};
use std::time::Duration;

/// Returns two machine types in two zones. The type "big" has four times the GPUs of "small" at
/// twice the price.
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

/// Returns the machines that are rented for a job if no machine exists. `change` modifies the job's
/// submission.
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
        .rentals
        .into_iter()
        .collect()
}

#[test]
fn rents_the_offer_with_the_lowest_price_per_task_and_fills_each_machine() {
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
fn skips_refused_offers_and_honors_zone_constraints() {
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

/// Returns an objective by which jobs of the class "train" start within 20 s, which is less than
/// the boot time of a machine.
fn start_objective() -> ServiceLevelObjective {
    ServiceLevelObjective {
        kind: ObjectiveKind::Wait,
        class: Some("train".into()),
        within: Some(Duration::from_secs(20)),
    }
}

/// Arrivals at regular intervals. Times are Unix times in milliseconds.
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

fn expected_job_count(history: &ArrivalHistory, now_ms: u64) -> usize {
    let objectives = [start_objective()];
    history
        .expected_jobs(UnixTime::from_millis(now_ms), &machine_types(), &objectives)
        .len()
}

/// A node that has just started reads all open jobs at once. Counting them as arrivals at the time
/// of the restart would overstate the rate, so each job counts at the time at which it became
/// ready.
#[test]
fn jobs_ready_before_the_rate_window_are_not_counted_as_arrivals() {
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
    assert_eq!(expected_job_count(&history, 1_400_000), 0);
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
    // One job arrives every 10 s, and the lead time is 67.5 s: 30 s for the boot and 15 s for the
    // image, 45 s in all, and a margin of half of that. So 7 jobs are expected.
    assert_eq!(expected_job_count(&history, 1_400_000), 7);
}

/// One job arrives every 2 s. The lead time is 67.5 s: 30 s for the boot, 15 s for the image, and a
/// margin of half of both. Jobs that end within it free their resources for later jobs.
#[test]
fn short_jobs_free_their_resources_for_later_expected_jobs() {
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
        expected_job_count(&history, 1_180_000)
    };
    assert_eq!(
        expected(JobKind::Array, 9.0),
        12,
        "jobs that run at the same time"
    );
    assert_eq!(
        expected(JobKind::Array, 900.0),
        34,
        "all jobs that arrive within the lead time"
    );
    assert_eq!(
        expected(JobKind::Service, 0.0),
        34,
        "services run until they are stopped"
    );
}
