//! Leaders that are isolated from the state service, from their peers or from the workers.

use super::support::{assert_completes, cluster_with, cluster_with_two_services, short_job};
use crate::constants;
use crate::wire::user::JobKind;

#[test]
fn leader_refused_by_the_state_service_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let former_leader = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(former_leader);
    assert!(cluster.run_until(
        2 * crate::model::whole_millis(constants::LEASE_TTL),
        |cluster| {
            cluster
                .leader()
                .is_some_and(|leader| leader != former_leader)
        }
    ));
    cluster.run(2_000);
    assert!(!cluster.engine(former_leader).unwrap().status().leading);
    cluster.submit(short_job("run-2", JobKind::Array, 2));
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(cluster.starts, 3, "no task was started again");
}

#[test]
fn leader_without_workers_transfers_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(5_000);
    let (former_leader, busy) = (cluster.leader().unwrap(), cluster.busy_machines());
    cluster.faults.nodes_without_workers.insert(former_leader);
    cluster.run(45_000);
    assert_ne!(cluster.leader(), Some(former_leader));
    assert!(
        !cluster
            .returned_machines
            .iter()
            .any(|machine| busy.contains(machine))
    );
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A leader without state service and peers, but with its workers, gives up leadership, and its
/// successor returns none of the machines meanwhile.
#[test]
fn leader_isolated_with_its_workers_gives_up_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(10_000);
    let busy = cluster.busy_machines();
    let former_leader = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(former_leader);
    cluster.faults.nodes_without_peers.insert(former_leader);
    assert!(
        cluster.run_until(8_000, |w| w.leader() != Some(former_leader)
            && w.leader().is_some())
    );
    cluster.run(8_000);
    let status = cluster.engine(former_leader).unwrap().status();
    assert!(
        !status.leading,
        "it gives up within half of the grace period"
    );
    assert!(!status.ready, "users are served by other nodes");
    cluster.cancel("run-2");
    cluster.run(12_000);
    let running = ["run-1", "run-2"].map(|id| cluster.running_tasks(id));
    assert_eq!(running, [4, 0]);
    let mut returned = cluster.returned_machines.iter();
    assert!(!returned.any(|machine| busy.contains(machine)));
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
    // An isolated follower gives up its workers, too.
    let follower = (0..3)
        .find(|node| *node != former_leader && Some(*node) != cluster.leader())
        .unwrap();
    cluster.faults = Default::default();
    cluster.run(10_000);
    cluster.faults.nodes_without_store.insert(follower);
    cluster.faults.nodes_without_peers.insert(follower);
    cluster.run(20_000);
    assert!(!cluster.engine(follower).unwrap().status().ready);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (4, 8));
}

/// The job is cancelled through another node while the state service refuses the leader and no
/// other node is up to succeed it: the leader stops accepting heartbeats early enough for the
/// worker's lease to expire in time.
#[test]
fn cancellation_stops_tasks_of_an_isolated_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let leader = cluster.leader().unwrap();
    for node in (0..3).filter(|node| *node != leader) {
        cluster.crash(node);
    }
    cluster.faults.nodes_without_store.insert(leader);
    cluster.run(500);
    cluster.cancel("run-1");
    cluster.run(60_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.running_tasks("run-1"), 0);
}

/// Guards against followers that take a healthy leader for lost because connections between nodes
/// fail: they must not keep workers that report to them, so that these are taken for dead.
#[test]
fn unreachable_peers_do_not_keep_workers_from_the_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let (leader, term) = (cluster.leader(), cluster.term());
    cluster.faults.nodes_without_peers.extend([0, 1, 2]);
    cluster.run(5_000);
    // It needs a machine that is not rented yet, and whose worker first reports to a follower.
    cluster.initial_node = leader.map(|leader| (leader + 1) % 3);
    cluster.submit(short_job("run-2", JobKind::Gang, 7));
    assert_completes(&mut cluster, "run-2", 60_000);
    cluster.run(30_000);
    assert_eq!((cluster.leader(), cluster.term()), (leader, term));
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 8));
}
