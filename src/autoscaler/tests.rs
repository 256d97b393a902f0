use super::*;
use crate::model::{JobPhase, JobSpec};
use crate::wire::user::{JobKind, tests::job as wire_job};

fn types() -> MachineTypes {
    let one = |name: &str, gpus: f64, price: f64| MachineType {
        name: name.into(),
        capacity: Resources::capacity(64.0, gpus, 512.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 0.2,
        price,
        spot_price: price / 3.0,
        boot_ms: 30_000,
        zones: vec!["east".into(), "west".into()],
    };
    [one("big", 8.0, 8.0), one("small", 2.0, 4.0)]
        .into_iter()
        .map(|t| (t.name.clone(), t))
        .collect()
}

fn want(
    kind: JobKind,
    tasks: u32,
    refused: &[MachineOffer],
    change: impl Fn(&mut crate::wire::user::JobSubmission),
) -> Vec<(MachineOffer, u64)> {
    let mut wire = wire_job("run-1", kind, tasks.into());
    change(&mut wire);
    let job = Job::new(JobSpec::from(&wire), 1, 0, JobPhase::Open, 0);
    let types = types();
    let offers = offers(&types, &refused.iter().cloned().collect(), true);
    let waiting = [WaitingJob {
        job: &job,
        tasks,
        zones: BTreeMap::new(),
    }];
    scaling_plan(&waiting, Vec::new(), &types, &offers, 50)
        .rent
        .into_iter()
        .collect()
}

#[test]
fn the_cheapest_share_is_rented_and_filled() {
    let got = want(JobKind::Array, 9, &[], |_| {});
    assert_eq!(got.len(), 1);
    assert_eq!(
        (&*got[0].0.machine_type, got[0].0.spot, got[0].1),
        ("big", false, 2)
    );
    let got = want(JobKind::Array, 1, &[], |j| j.allows_spot = true);
    assert!(got[0].0.spot);
}

#[test]
fn refused_offers_are_passed_over_and_gangs_stay_in_one_zone() {
    let big_east = MachineOffer {
        machine_type: "big".into(),
        zone: "east".into(),
        spot: false,
    };
    let got = want(JobKind::Gang, 12, &[big_east], |j| j.single_zone = true);
    assert_eq!(got.len(), 1);
    assert_eq!((&*got[0].0.zone, got[0].1), ("west", 2));
    let got = want(JobKind::Service, 4, &[], |j| j.spread_zones = true);
    assert_eq!(got.len(), 2, "a spread service needs both zones");
}

/// A node that had just started once took all live jobs for arrivals of that moment, and
/// rented for as many again.
#[test]
fn jobs_from_before_a_restart_are_no_arrivals() {
    let aim = ServiceLevelObjective {
        kind: ObjectiveKind::Wait,
        class: Some("train".into()),
        within: Some(std::time::Duration::from_secs(20)),
    };
    let spec = JobSpec::from(&wire_job("run-1", JobKind::Service, 1));
    let mut arrivals = ArrivalHistory::default();
    for n in 0..30 {
        arrivals.note(1_000_000 + n, &JobId::from(&*format!("run-{n}")), &spec);
    }
    let aims = std::slice::from_ref(&aim);
    let expected = |a: &ArrivalHistory, unix_ms| a.expected(unix_ms, &types(), aims).len();
    assert_eq!(expected(&arrivals, 1_400_000), 0);
    for n in 0..18 {
        arrivals.note(
            1_220_000 + n * 10_000,
            &JobId::from(&*format!("run-9{n}")),
            &spec,
        );
    }
    // One in 10 s, and 45 s (with a margin of a half) from renting to running: 7.
    assert_eq!(expected(&arrivals, 1_400_000), 7);
}

/// Room for expected jobs was kept as if none of them ended: arrays of half a minute, expected
/// over more than a minute, kept several times the room that they ever hold at once.
#[test]
fn short_jobs_leave_their_room_to_the_next_ones() {
    let aim = ServiceLevelObjective {
        kind: ObjectiveKind::Wait,
        class: Some("train".into()),
        within: Some(std::time::Duration::from_secs(20)),
    };
    let expected = |kind, estimate_s| {
        let mut wire = wire_job("run-1", kind, 1);
        wire.expected_duration_s = estimate_s;
        let spec = JobSpec::from(&wire);
        let mut arrivals = ArrivalHistory::default();
        // One in 2 s, 30 s for a boot and 15 s for the image, and with a margin of a half 67.5 s
        // for both.
        for n in 0..90 {
            let id = JobId::from(&*format!("run-{n}"));
            arrivals.note(1_000_000 + n * 2_000, &id, &spec);
        }
        let aims = std::slice::from_ref(&aim);
        arrivals.expected(1_180_000, &types(), aims).len()
    };
    assert_eq!(expected(JobKind::Array, 9.0), 12, "as many as run at once");
    assert_eq!(
        expected(JobKind::Array, 900.0),
        34,
        "all that come meanwhile"
    );
    assert_eq!(
        expected(JobKind::Service, 0.0),
        34,
        "services end when told to"
    );
}
