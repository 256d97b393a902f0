//! Leaders that are isolated from the state service, from their peers or from the workers.

use super::support::{assert_completes, cluster_with, cluster_with_two_services, short_job};
use crate::constants;
use crate::wire::user::JobKind;

#[test]
fn leader_refused_by_the_state_service_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let old = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(old);
    assert!(cluster.run_until(2 * constants::LEASE_TTL_MS, |w| {
        w.leader().is_some_and(|leader| leader != old)
    }));
    cluster.run(2_000);
    assert!(!cluster.engine(old).unwrap().view().leading);
    cluster.submit(short_job("run-2", JobKind::Array, 2));
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(cluster.starts, 3, "nothing was started again");
}

#[test]
fn leader_without_workers_transfers_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(5_000);
    let (old, busy) = (cluster.leader().unwrap(), cluster.busy_machines());
    cluster.faults.nodes_without_workers.insert(old);
    cluster.run(45_000);
    assert_ne!(cluster.leader(), Some(old));
    assert!(
        !cluster
            .returned_machines
            .iter()
            .any(|machine| busy.contains(machine))
    );
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A leader without state service and peers, but with its workers: it lets them go, and its
/// successor returns none of them meanwhile.
#[test]
fn leader_isolated_with_its_workers_gives_up_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(10_000);
    let busy = cluster.busy_machines();
    let old = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(old);
    cluster.faults.nodes_without_peers.insert(old);
    assert!(cluster.run_until(8_000, |w| w.leader() != Some(old) && w.leader().is_some()));
    cluster.run(8_000);
    let alone = cluster.engine(old).unwrap().view();
    assert!(!alone.leading, "it has given up within half of the grace");
    assert!(!alone.ready, "users are served elsewhere");
    cluster.cancel("run-2");
    cluster.run(12_000);
    assert_eq!(
        (
            cluster.running_tasks("run-1"),
            cluster.running_tasks("run-2")
        ),
        (4, 0)
    );
    assert!(
        !cluster
            .returned_machines
            .iter()
            .any(|machine| busy.contains(machine))
    );
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
    // A follower in the same state keeps nobody either.
    let follower = (0..3)
        .find(|n| *n != old && Some(*n) != cluster.leader())
        .unwrap();
    cluster.faults = Default::default();
    cluster.run(10_000);
    cluster.faults.store_refuses.insert(follower);
    cluster.faults.nodes_without_peers.insert(follower);
    cluster.run(20_000);
    assert!(!cluster.engine(follower).unwrap().view().ready);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (4, 8));
}

/// Cancelled through another node while the leader hears nothing from the state service and
/// nobody can take over: the leader stops answering in time for the worker's lease to end.
#[test]
fn cancellation_stops_tasks_of_an_isolated_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let leader = cluster.leader().unwrap();
    for node in (0..3).filter(|n| *n != leader) {
        cluster.crash(node);
    }
    cluster.faults.store_refuses.insert(leader);
    cluster.run(500);
    cluster.cancel("run-1");
    cluster.run(60_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.running_tasks("run-1"), 0);
}

/// While connections between nodes were refused, followers stood in for a leader that was well,
/// kept the machines that came up, and had them taken for dead.
#[test]
fn unreachable_peers_do_not_keep_workers_from_the_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let (leader, term) = (cluster.leader(), cluster.term());
    cluster.faults.nodes_without_peers.extend([0, 1, 2]);
    cluster.run(5_000);
    // It needs a machine that is not there yet, and whose worker begins with a follower.
    cluster.initial_node = leader.map(|leader| (leader + 1) % 3);
    cluster.submit(short_job("run-2", JobKind::Gang, 7));
    assert_completes(&mut cluster, "run-2", 60_000);
    cluster.run(30_000);
    assert_eq!((cluster.leader(), cluster.term()), (leader, term));
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 8));
}
