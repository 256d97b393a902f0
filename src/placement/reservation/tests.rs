use super::*;
use crate::placement::tests::{job, snapshot};
use crate::wire::user::{JobKind, JobSubmission};

/// Returns a machine of eight GPUs in `zone`, of which `available_gpus` are available.
fn machine(id: &str, zone: &str, available_gpus: u64) -> MachineSnapshot {
    let mut machine = snapshot(id, zone, 8.0);
    machine.available.gpus = available_gpus * 1000;
    machine
}

/// Returns the specification of a gang of `tasks` tasks, each of which takes a whole machine.
fn gang_of_whole_machines(tasks: u64, single_zone: bool) -> JobSpec {
    let change = |submission: &mut JobSubmission| {
        submission.gpus = 8.0;
        submission.single_zone = single_zone;
    };
    job(JobKind::Gang, tasks, change).spec
}

/// Reserves machines for the gang and returns the ids of those on which nothing is available then.
fn reserved<'a>(spec: &JobSpec, machines: &'a mut [MachineSnapshot]) -> Vec<&'a str> {
    reserve_for_gang(spec, machines);
    machines
        .iter()
        .filter(|machine| machine.available == Resources::default())
        .map(|machine| &*machine.id.0)
        .collect()
}

#[test]
fn machines_with_the_least_to_free_are_reserved() {
    let mut machines = [
        machine("a", "east", 1),
        machine("b", "east", 7),
        machine("c", "west", 5),
    ];
    let gang = gang_of_whole_machines(2, false);
    assert_eq!(reserved(&gang, &mut machines), ["b", "c"]);
}

#[test]
fn single_zone_gang_reserves_machines_in_one_zone() {
    let mut machines = [
        machine("a", "east", 1),
        machine("b", "east", 7),
        machine("c", "west", 5),
        machine("d", "west", 5),
    ];
    let gang = gang_of_whole_machines(2, true);
    assert_eq!(reserved(&gang, &mut machines), ["c", "d"]);
}

#[test]
fn nothing_is_reserved_if_the_machines_cannot_hold_the_gang() {
    let mut machines = [machine("a", "east", 1), machine("b", "west", 7)];
    let gang = gang_of_whole_machines(3, false);
    assert!(reserved(&gang, &mut machines).is_empty());
    // A service does not end, so the resources that it uses never become free.
    machines[0].used_by_services.gpus = 1000;
    let gang = gang_of_whole_machines(2, false);
    assert!(reserved(&gang, &mut machines).is_empty());
}

/// Guards against a reservation of machines on which a gang that must be spread over zones can't
/// start.
#[test]
fn spread_gang_reserves_machines_in_several_zones() {
    let mut machines = [
        machine("a", "east", 7),
        machine("b", "east", 7),
        machine("c", "west", 1),
    ];
    let mut gang = gang_of_whole_machines(2, false);
    gang.spread_zones = true;
    assert_eq!(reserved(&gang, &mut machines), ["a", "c"]);
}
