//! Faults that are in effect together: each test covers one combination.

mod cancellations;
mod late_messages;
mod leader_changes;
mod lost_machines;

use super::simulated_cluster::SimulatedCluster;

/// Ends all faults, and asserts that every open job runs within 90 s and that no invariant was
/// violated.
#[track_caller]
pub(super) fn assert_recovers(cluster: &mut SimulatedCluster) {
    cluster.faults = Default::default();
    cluster.start_all_nodes();
    let all_placed = cluster.run_until(90_000, |cluster| cluster.waiting_jobs().is_empty());
    assert!(
        all_placed,
        "{:?} wait: {}",
        cluster.waiting_jobs(),
        cluster.describe()
    );
    cluster.run(20_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Returns the nodes that do not lead.
pub(super) fn followers(cluster: &SimulatedCluster) -> [usize; 2] {
    let leader = cluster.leader();
    let mut followers = (0..3).filter(|node| Some(*node) != leader);
    [followers.next().unwrap(), followers.next().unwrap()]
}

/// Makes all workers send their heartbeats to this node, whichever node they used before, the first
/// within 300 ms.
pub(super) fn redirect_all_workers_to(cluster: &mut SimulatedCluster, node: usize) {
    cluster
        .workers
        .values_mut()
        .for_each(|worker| worker.node = node);
    cluster.schedule_all_heartbeats_within(300);
}
