//! Wrong machine lists of the cloud.

use super::simulated_cluster::{MachineListFault, SimulatedCluster};
use super::support::{cluster_with, short_job};
use crate::constants;
use crate::wire::user::JobKind;

fn cluster_with_machines() -> SimulatedCluster {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 4)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 4));
    cluster
}

/// A list that never ends, or repeats a page, must not keep all of the cloud's calls busy. It is
/// abandoned and read again later; no running task is lost meanwhile, and a correct list is
/// accepted again.
#[test]
fn endless_machine_list_is_abandoned_and_read_again() {
    for fault in [
        MachineListFault::FirstPageRepeated,
        MachineListFault::Endless,
    ] {
        let mut cluster = cluster_with_machines();
        let (busy, starts) = (cluster.busy_machines(), cluster.starts);
        cluster.faults.machine_list = fault;
        let before = cluster.listed_pages;
        cluster.run(60_000);
        let pages = cluster.listed_pages - before;
        let lists = 60_000 / crate::model::whole_millis(constants::MACHINE_LIST_INTERVAL) + 1;
        let max_pages = match fault {
            MachineListFault::FirstPageRepeated => 2 * lists,
            _ => lists * u64::from(constants::MAX_MACHINE_LIST_PAGES + 1),
        };
        assert!(pages <= max_pages, "{fault:?}: {pages} pages in a minute");
        cluster.faults.machine_list = MachineListFault::None;
        cluster.run(60_000);
        assert_eq!(
            (cluster.running_tasks("run-1"), cluster.starts),
            (4, starts)
        );
        assert!(
            busy.iter()
                .all(|machine| !cluster.returned_machines.contains(machine)),
            "{fault:?}"
        );
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// A machine that a list names twice is one machine.
#[test]
fn machine_listed_twice_counts_once() {
    let mut cluster = cluster_with_machines();
    cluster.faults.machine_list = MachineListFault::DuplicateEntries;
    let (busy, starts) = (cluster.busy_machines(), cluster.starts);
    cluster.run(60_000);
    assert_eq!((cluster.busy_machines(), cluster.starts), (busy, starts));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A new leader whose first list never ends takes the fleet for neither empty nor complete: it
/// rents no machine until a list has ended.
#[test]
fn endless_machine_list_is_not_taken_for_an_empty_fleet() {
    let mut cluster = cluster_with_machines();
    let (busy, starts) = (cluster.busy_machines(), cluster.starts);
    cluster.faults.machine_list = MachineListFault::FirstPageRepeated;
    let leader = cluster.leader().unwrap();
    cluster.restart(leader, 1_000);
    let machines = cluster.workers.len();
    cluster.submit(short_job("run-2", JobKind::Array, 8));
    cluster.run(60_000);
    assert_eq!(cluster.workers.len(), machines, "no machine rented");
    assert!(
        busy.iter()
            .all(|machine| !cluster.returned_machines.contains(machine))
    );
    cluster.faults.machine_list = MachineListFault::None;
    assert!(cluster.run_until(120_000, |w| w.is_done("run-2")));
    assert_eq!(
        (cluster.running_tasks("run-1"), cluster.starts),
        (4, starts + 8)
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}
