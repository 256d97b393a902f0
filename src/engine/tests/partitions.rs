//! Outages of the state service, lost replies and partitioned zones.

use super::support::{
    JobSubmissionExt, assert_completes, cluster_with, move_leadership_east, short_job,
};
use crate::wire::user::JobKind;

#[test]
fn commits_without_a_reply_are_resolved() {
    for every in 2..5 {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Gang, 3),
        ]);
        cluster.faults.lose_commit_reply_every = every;
        assert_completes(&mut cluster, "run-1", 240_000);
        assert_completes(&mut cluster, "run-2", 240_000);
    }
}

#[test]
fn state_service_outage_stops_starts_but_not_running_tasks() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    cluster.faults.store_unavailable = true;
    cluster.run(15_000);
    assert_eq!(cluster.starts, 1, "no task starts during the outage");
    assert_eq!(cluster.running_tasks("run-1"), 1, "running tasks continue");
    cluster.faults.store_unavailable = false;
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(cluster.running_tasks("run-1"), 1);
}

#[test]
fn partitioned_zone_keeps_tasks_and_receives_cancellations() {
    let one = short_job("run-1", JobKind::Service, 1).in_zone("west");
    let other = short_job("run-2", JobKind::Service, 1).in_zone("west");
    let mut cluster = cluster_with(vec![one, other]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 2));
    move_leadership_east(&mut cluster);
    cluster.faults.zones_partitioned = true;
    cluster.run(15_000);
    cluster.cancel("run-2");
    cluster.run(15_000);
    assert_eq!(cluster.running_tasks("run-1"), 1, "{}", cluster.describe());
    assert_eq!(
        cluster.running_tasks("run-2"),
        0,
        "a node in the zone forwards the cancellation"
    );
    cluster.faults.zones_partitioned = false;
    cluster.run(20_000);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 2));
    assert_eq!(
        cluster.returned_machines,
        Vec::<String>::new(),
        "no machine is returned when the partition ends"
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a node that gives its workers up after half of the grace period: its zone is
/// partitioned, and the state service refuses it as well.
#[test]
fn isolated_zone_keeps_tasks_for_the_whole_grace_period() {
    let service = short_job("run-1", JobKind::Service, 3).in_zone("west");
    let mut cluster = cluster_with(vec![service]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
    move_leadership_east(&mut cluster);
    cluster.faults.zones_partitioned = true;
    cluster.faults.nodes_without_store.insert(1);
    cluster.run(30_000);
    assert_eq!(cluster.running_tasks("run-1"), 3, "{}", cluster.describe());
    cluster.faults = Default::default();
    cluster.run(20_000);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (3, 3));
    assert_eq!(cluster.returned_machines, Vec::<String>::new());
    assert_eq!(cluster.violations, Vec::<String>::new());
}
