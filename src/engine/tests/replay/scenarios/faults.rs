//! Scenarios with lost machines, faulty machine lists, partitions and consolidation.

use crate::engine::tests::simulated_cluster::{MachineListFault, SimulatedCluster};
use crate::engine::tests::support::{JobSubmissionExt, job_with_duration, short_job};
use crate::wire::user::JobKind;

pub(super) fn lost_machines_and_faulty_machine_lists(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 4));
    cluster.submit(job_with_duration("run-2", JobKind::Gang, 2, 90.0));
    cluster.run(45_000);
    let hung_machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(hung_machine);
    cluster.faults.machine_list = MachineListFault::DuplicateEntries;
    cluster.faults.duplicate_heartbeat_every = 5;
    cluster.run(40_000);
    cluster.faults.machine_list = MachineListFault::FirstPageRepeated;
    if let Some(machine_without_replies) = cluster.first_machine_of_job("run-1") {
        cluster
            .faults
            .machines_without_replies
            .insert(machine_without_replies);
    }
    cluster.submit(short_job("run-3", JobKind::Array, 5));
    cluster.run(40_000);
    cluster.faults.machine_list = MachineListFault::None;
    if let Some(failing_machine) = cluster.first_machine_of_job("run-2") {
        cluster.faults.failing_machines.insert(failing_machine);
    }
    if let Some(restarted_machine) = cluster.first_machine_of_job("run-1") {
        cluster.restart_worker(&restarted_machine);
    }
    cluster.faults.failing_jobs.insert("run-4".into());
    cluster.submit(short_job("run-4", JobKind::Array, 2));
    cluster.faults.cloud_unavailable = true;
    cluster.run(15_000);
    cluster.faults.cloud_unavailable = false;
    cluster.run(40_000);
}

pub(super) fn partitions_and_unanswered_calls(cluster: &mut SimulatedCluster) {
    cluster.faults.max_jitter = 400;
    cluster.run(3_000);
    cluster.submit(short_job("run-1", JobKind::Service, 3));
    let west = short_job("run-2", JobKind::Service, 2).in_zone("west");
    cluster.submit(west);
    cluster.run(45_000);
    cluster.faults.zones_partitioned = true;
    cluster.faults.lose_commit_reply_every = 3;
    cluster.submit(short_job("run-3", JobKind::Array, 5));
    cluster.run(15_000);
    cluster.faults.zones_partitioned = false;
    cluster.run(15_000);
    let refused_leader = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(refused_leader);
    cluster.run(15_000);
    cluster.faults.nodes_without_store.clear();
    cluster.faults.lose_commit_reply_every = 0;
    let unreachable_leader = cluster.leader().unwrap();
    cluster
        .faults
        .nodes_without_workers
        .insert(unreachable_leader);
    cluster.run(40_000);
    cluster.faults.nodes_without_workers.clear();
    let isolated_leader = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(isolated_leader);
    cluster.faults.nodes_without_peers.insert(isolated_leader);
    cluster.run(20_000);
    cluster.faults = Default::default();
    cluster.run(15_000);
}

pub(super) fn consolidation_of_half_empty_machines(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 2));
    cluster.submit(short_job("run-2", JobKind::Service, 2));
    cluster.run(45_000);
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    cluster.run(45_000);
    cluster.cancel("run-1");
    cluster.run(130_000);
}
