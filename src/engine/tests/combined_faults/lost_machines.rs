//! Machines lost during other faults.

use super::super::support::{
    assert_completes, cluster_with, cluster_with_two_services, move_leadership_east, short_job,
};
use super::assert_recovers;
use crate::constants;
use crate::wire::user::JobKind;

/// Guards against stops that are sent with heartbeat replies only, and against taking a machine
/// that can't open connections for one that has stopped its tasks.
#[test]
fn machines_without_heartbeats_are_stopped_directly_and_replaced_once_returned() {
    let mut cluster = cluster_with_two_services();
    cluster.faults.machines_without_heartbeats = cluster.busy_machines();
    cluster.run(5_000);
    cluster.cancel("run-1");
    cluster.run(1_000);
    assert_eq!(cluster.running_tasks("run-1"), 0);
    cluster.crash_leader();
    cluster.run(60_000);
    assert_eq!(cluster.running_tasks("run-2"), 4, "{}", cluster.describe());
    assert_recovers(&mut cluster);
}

/// Guards against quota that seems available because the machines that use it can't be reached: the
/// team is at its limit, the leader crashes, machines are unreachable, and a job is cancelled.
#[test]
fn team_quota_holds_through_failover_and_cancellation() {
    for isolated_for in [8_000, 15_000, 40_000] {
        let mut whole = short_job("run-0", JobKind::Service, 1);
        whole.cpus = 16.0;
        let mut cluster = cluster_with(vec![
            whole,
            short_job("run-1", JobKind::Service, 4),
            short_job("run-2", JobKind::Service, 3),
        ]);
        assert!(cluster.run_until(60_000, |w| w.all_running_tasks() == 8));
        cluster.cancel("run-0");
        cluster.run(1_000);
        // It uses the rest of the team's quota: the machine that was full is idle.
        cluster.submit(short_job("run-4", JobKind::Service, 1));
        assert!(cluster.run_until(10_000, |w| w.all_running_tasks() == 8));
        let busy = cluster.busy_machines();
        assert!(busy.len() < cluster.workers.len());
        cluster.submit(short_job("run-3", JobKind::Array, 4));
        cluster.run(3_000);
        let leader = cluster.leader().unwrap();
        cluster
            .faults
            .unreachable_machines
            .extend(cluster.first_machine_of_job("run-1"));
        cluster.crash(leader);
        cluster.run(2_000);
        cluster.cancel("run-1");
        cluster.run(isolated_for);
        cluster.faults.unreachable_machines.clear();
        cluster.run(2_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
    }
}

/// Guards against jobs of one zone that are placed elsewhere, twice or never: the zone, with a node
/// in it, is partitioned for longer than a lease, and loses machines meanwhile.
#[test]
fn jobs_of_a_partitioned_zone_get_replacement_machines() {
    for isolated_for in [20_000, 45_000, 90_000] {
        let mut jobs = vec![
            short_job("run-1", JobKind::Service, 2),
            short_job("run-2", JobKind::Array, 4),
        ];
        jobs[1].expected_duration_s = 300.0;
        for job in &mut jobs {
            job.zone = Some("west".into());
        }
        let mut cluster = cluster_with(jobs);
        assert!(cluster.run_until(60_000, |w| w.all_running_tasks() == 6));
        move_leadership_east(&mut cluster);
        cluster.faults.zones_partitioned = true;
        cluster.run(5_000);
        let lost = cluster.first_machine_of_job("run-2").unwrap();
        cluster.faults.hung_machines.insert(lost);
        cluster.run(isolated_for);
        cluster.cancel("run-1");
        cluster.submit(short_job("run-3", JobKind::Service, 1));
        cluster.run(5_000);
        cluster.faults.zones_partitioned = false;
        let all = cluster.run_until(
            crate::model::whole_millis(constants::LEASE_TTL) + 90_000,
            |cluster| cluster.waiting_jobs().is_empty(),
        );
        assert!(all, "{:?}: {}", cluster.waiting_jobs(), cluster.describe());
        assert_recovers(&mut cluster);
        assert_eq!(cluster.running_tasks("run-1"), 0);
    }
}
