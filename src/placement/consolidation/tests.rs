use super::*;
use crate::placement::tests::snapshot;
use crate::wire::user::{JobKind, tests::job_submission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns the specification of a service with four replicas.
fn replica() -> JobSpec {
    JobSpec::from(&job_submission("run-1", JobKind::Service, 4))
}

/// Returns a machine with `count` replicas and their image in its cache.
fn machine_with(id: &str, zone: &str, count: u32) -> MachineSnapshot {
    let mut snapshot = snapshot(id, zone, 8.0);
    let spec = replica();
    snapshot.images.push(spec.image.clone());
    snapshot.allocate(&spec, count);
    snapshot
}

/// Returns the machine that is chosen to be drained. `counts` is the number of replicas on each
/// candidate.
fn machine_to_drain(snapshots: &[MachineSnapshot], counts: &[(&str, usize)]) -> Option<MachineId> {
    let spec = replica();
    let candidates: Vec<Drainable<'_>> = counts
        .iter()
        .map(|(id, count)| Drainable {
            machine: (*id).into(),
            replicas: vec![&spec; *count],
        })
        .collect();
    choose_machine_to_drain(&candidates, snapshots)
}

#[test]
fn least_used_machine_is_drained_if_a_fuller_one_has_room() {
    let snapshots = [machine_with("a", "east", 4), machine_with("b", "east", 3)];
    let both = [("a", 4), ("b", 3)];
    assert_eq!(machine_to_drain(&snapshots, &both), Some("b".into()));
    assert_eq!(
        machine_to_drain(&snapshots, &both[..1]),
        None,
        "replicas do not move to a machine that is less used"
    );
}

/// A replica that has to fetch its image is down for a minute. A move to another zone changes the
/// service's distribution over zones. A replica that does not fit elsewhere waits for a machine to
/// boot.
#[test]
fn machine_is_not_drained_without_target_that_has_image_zone_room_and_services() {
    let mut no_image = [machine_with("a", "east", 5), machine_with("b", "east", 3)];
    no_image[0].images.clear();
    assert_eq!(machine_to_drain(&no_image, &[("b", 3)]), None);
    let other_zone = [machine_with("a", "west", 5), machine_with("b", "east", 3)];
    assert_eq!(machine_to_drain(&other_zone, &[("b", 3)]), None);
    let no_room = [machine_with("a", "east", 6), machine_with("b", "east", 3)];
    assert_eq!(machine_to_drain(&no_room, &[("b", 3)]), None);
    let mut no_services = [machine_with("a", "east", 5), machine_with("b", "east", 3)];
    no_services[0].used_by_services = Resources::default();
    assert_eq!(machine_to_drain(&no_services, &[("b", 3)]), None);
}

/// Makes the same choice by exhaustive search: goes over all machines, and copies them, for each
/// candidate.
fn choose_exhaustively(
    candidates: &[Drainable<'_>],
    snapshots: &[MachineSnapshot],
) -> Option<MachineId> {
    let snapshot_of = |drainable: &Drainable<'_>| {
        snapshots
            .iter()
            .find(|snapshot| snapshot.id == drainable.machine)
    };
    let drainable = candidates
        .iter()
        .filter_map(|drainable| Some((drainable, snapshot_of(drainable)?)));
    drainable
        .filter(|(_, source)| source.used_permille() <= MAX_DRAINED_USE_PERMILLE)
        .filter(|(drainable, source)| fits_elsewhere(drainable, source, snapshots))
        .min_by_key(|(drainable, source)| (source.used_permille(), drainable.machine.clone()))
        .map(|(drainable, _)| drainable.machine.clone())
}

fn fits_elsewhere(
    drainable: &Drainable<'_>,
    source: &MachineSnapshot,
    snapshots: &[MachineSnapshot],
) -> bool {
    let mut targets: Vec<MachineSnapshot> = snapshots
        .iter()
        .filter(|snapshot| snapshot.id != source.id && snapshot.zone == source.zone)
        .filter(|snapshot| {
            snapshot.used_by_services != Resources::default()
                && snapshot.used_permille() >= source.used_permille()
        })
        .cloned()
        .collect();
    drainable.replicas.iter().all(|replica| {
        targets
            .iter_mut()
            .find(|target| {
                replica.request.fits_in(target.available)
                    && target.is_eligible_for(replica)
                    && (replica.image_gb <= 0.0 || target.images.contains(&replica.image))
            })
            .map(|target| target.allocate(replica, 1))
            .is_some()
    })
}

/// Returns machines with the given numbers of replicas. Some of the machines do not have the image.
fn random_machines(random: &mut SmallRng, replicas: &[u32]) -> Vec<MachineSnapshot> {
    let mut snapshots: Vec<MachineSnapshot> = (0..)
        .zip(replicas)
        .map(|(number, count)| {
            let zone = ["east", "west"][number % 2];
            machine_with(&format!("m{number:02}"), zone, *count)
        })
        .collect();
    for snapshot in &mut snapshots {
        if random.random_bool(0.2) {
            snapshot.images.clear();
        }
    }
    snapshots
}

#[test]
fn choice_equals_that_of_an_exhaustive_search() {
    let seed = 5;
    let mut random = SmallRng::seed_from_u64(seed);
    let spec = replica();
    let mut chosen = 0;
    for round in 0..500 {
        let machines = random.random_range(2..12);
        let replicas: Vec<u32> = (0..machines).map(|_| random.random_range(1..=8)).collect();
        let snapshots = random_machines(&mut random, &replicas);
        let candidates: Vec<Drainable<'_>> = snapshots
            .iter()
            .zip(&replicas)
            .map(|(snapshot, count)| Drainable {
                machine: snapshot.id.clone(),
                replicas: vec![&spec; *count as usize],
            })
            .collect();
        let choice = choose_machine_to_drain(&candidates, &snapshots);
        assert_eq!(
            choice,
            choose_exhaustively(&candidates, &snapshots),
            "seed {seed}, round {round}"
        );
        chosen += usize::from(choice.is_some());
    }
    assert!((50..450).contains(&chosen), "{chosen} chosen");
}
