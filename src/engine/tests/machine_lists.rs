//! Incorrect machine lists from the cloud.

use super::simulated_cluster::{MachineListFault, SimulatedCluster};
use super::support::{cluster_with, short_job};
use crate::constants;
use crate::wire::user::JobKind;

fn cluster_with_running_service() -> SimulatedCluster {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 4)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 4));
    cluster
}

/// Guards against a machine list that never ends or repeats a page and so uses up the calls to the
/// cloud. The list must be abandoned and read again later. No running task may be lost in the
/// meantime, and a correct list must be accepted again.
#[test]
fn endless_machine_list_is_abandoned_and_read_again() {
    for fault in [
        MachineListFault::FirstPageRepeated,
        MachineListFault::Endless,
    ] {
        let mut cluster = cluster_with_running_service();
        let (busy, starts) = (cluster.busy_machines(), cluster.starts);
        cluster.faults.machine_list = fault;
        let pages_before = cluster.listed_pages;
        cluster.run(60_000);
        let pages = cluster.listed_pages - pages_before;
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

/// A machine that a list names twice must count as one machine.
#[test]
fn machine_listed_twice_counts_once() {
    let mut cluster = cluster_with_running_service();
    cluster.faults.machine_list = MachineListFault::DuplicateEntries;
    let (busy, starts) = (cluster.busy_machines(), cluster.starts);
    cluster.run(60_000);
    assert_eq!((cluster.busy_machines(), cluster.starts), (busy, starts));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A new leader whose first machine list never ends must consider the fleet neither empty nor
/// complete: the leader must rent no machine until it has read a list to its end.
#[test]
fn endless_machine_list_does_not_count_as_an_empty_fleet() {
    let mut cluster = cluster_with_running_service();
    let (busy, starts) = (cluster.busy_machines(), cluster.starts);
    cluster.faults.machine_list = MachineListFault::FirstPageRepeated;
    let leader = cluster.leader().unwrap();
    cluster.restart(leader, 1_000);
    let machines = cluster.workers.len();
    cluster.submit(short_job("run-2", JobKind::Array, 8));
    cluster.run(60_000);
    assert_eq!(cluster.workers.len(), machines, "no machine is rented");
    assert!(
        busy.iter()
            .all(|machine| !cluster.returned_machines.contains(machine))
    );
    cluster.faults.machine_list = MachineListFault::None;
    assert!(cluster.run_until(120_000, |cluster| cluster.is_done("run-2")));
    assert_eq!(
        (cluster.running_tasks("run-1"), cluster.starts),
        (4, starts + 8)
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}
