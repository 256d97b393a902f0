//! Lists of machines that the cloud gets wrong.

use super::world::{ListFault, World};
use super::{quick, world_with};
use crate::constants;
use crate::wire::user::JobKind;

fn world_with_machines() -> World {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 4)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 4));
    world
}

/// A list that never ends, or repeats a page, once kept all of the cloud's calls busy. It is given up
/// and read again later; nothing that runs is lost meanwhile, and a right list is taken in again.
#[test]
fn a_list_that_does_not_end_is_given_up_and_read_again() {
    for fault in [ListFault::Repeats, ListFault::Endless] {
        let mut world = world_with_machines();
        let (busy, starts) = (world.busy(), world.starts);
        world.faults.list = fault;
        let before = world.listed_pages;
        world.run(60_000);
        let pages = world.listed_pages - before;
        let lists = 60_000 / crate::model::whole_millis(constants::MACHINE_LIST_INTERVAL) + 1;
        let most = match fault {
            ListFault::Repeats => 2 * lists,
            _ => lists * u64::from(constants::MAX_MACHINE_LIST_PAGES + 1),
        };
        assert!(pages <= most, "{fault:?}: {pages} pages in a minute");
        world.faults.list = ListFault::None;
        world.run(60_000);
        assert_eq!((world.running("run-1"), world.starts), (4, starts));
        assert!(
            busy.iter().all(|m| !world.returned.contains(m)),
            "{fault:?}"
        );
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

/// A machine that a list names twice is one machine.
#[test]
fn a_machine_listed_twice_is_one_machine() {
    let mut world = world_with_machines();
    world.faults.list = ListFault::Doubled;
    let (busy, starts) = (world.busy(), world.starts);
    world.run(60_000);
    assert_eq!((world.busy(), world.starts), (busy, starts));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A new leader whose first list never ends takes the fleet for neither empty nor complete: it rents
/// nothing until a list has ended.
#[test]
fn a_fleet_whose_list_does_not_end_is_not_taken_for_empty() {
    let mut world = world_with_machines();
    let (busy, starts) = (world.busy(), world.starts);
    world.faults.list = ListFault::Repeats;
    let leader = world.leader().unwrap();
    world.restart(leader, 1_000);
    let machines = world.workers.len();
    world.submit(quick("run-2", JobKind::Array, 8));
    world.run(60_000);
    assert_eq!(world.workers.len(), machines, "nothing rented");
    assert!(busy.iter().all(|m| !world.returned.contains(m)));
    world.faults.list = ListFault::None;
    assert!(world.run_until(120_000, |w| w.done("run-2")));
    assert_eq!((world.running("run-1"), world.starts), (4, starts + 8));
    assert_eq!(world.broken, Vec::<String>::new());
}
