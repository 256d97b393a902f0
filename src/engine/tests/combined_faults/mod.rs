//! Two faults at once: each test combines them in one way.

mod cancellations;
mod late_messages;
mod leader_changes;
mod lost_machines;

use super::simulated_cluster::SimulatedCluster;

/// All faults end: every open job runs within 90 s, and no invariant was violated.
#[track_caller]
pub(super) fn assert_recovers(cluster: &mut SimulatedCluster) {
    cluster.faults = Default::default();
    cluster.start_all_nodes();
    let all = cluster.run_until(90_000, |w| w.waiting_jobs().is_empty());
    assert!(
        all,
        "{:?} wait: {}",
        cluster.waiting_jobs(),
        cluster.describe()
    );
    cluster.run(20_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The nodes that do not lead.
pub(super) fn followers(cluster: &SimulatedCluster) -> [usize; 2] {
    let leader = cluster.leader();
    let mut followers = (0..3).filter(|node| Some(*node) != leader);
    [followers.next().unwrap(), followers.next().unwrap()]
}

/// All workers send a heartbeat to this node at once, whichever they reported to before.
pub(super) fn redirect_all_workers_to(cluster: &mut SimulatedCluster, node: usize) {
    cluster.workers.values_mut().for_each(|w| w.node = node);
    cluster.schedule_all_heartbeats_within(300);
}
