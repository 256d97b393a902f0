//! Scenarios in which the jobs need more resources than there are.

use crate::engine::tests::simulated_cluster::SimulatedCluster;
use crate::engine::tests::support::{
    JobSubmissionExt, job_with_duration, short_job, whole_machine_gang,
};
use crate::wire::user::{JobKind, Priority};

pub(super) fn preemption_and_reclaimed_machines(cluster: &mut SimulatedCluster) {
    cluster.faults.zone_capacity = Some(2);
    (cluster.faults.save_checkpoints, cluster.faults.gang_wait) = (true, 1_500);
    cluster.run(2_000);
    let mut array = job_with_duration("run-1", JobKind::Array, 20, 200.0);
    (array.priority, array.allows_spot) = (Priority::Low, true);
    cluster.submit(array);
    let mut service = short_job("run-2", JobKind::Service, 2);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    cluster.submit(service);
    cluster.run(70_000);
    cluster.submit(whole_machine_gang("run-3", 2).with_priority(Priority::Production));
    cluster.run(40_000);
    let urgent = job_with_duration("run-4", JobKind::Array, 4, 15.0).with_priority(Priority::High);
    cluster.submit(urgent);
    if let Some(machine) = cluster.first_machine_of_job("run-2") {
        cluster.faults.preemption_notices.insert(machine, 30.0);
    }
    cluster.run(40_000);
    if let Some(machine) = cluster.first_machine_of_job("run-1") {
        cluster
            .faults
            .preemption_notices
            .insert(machine.clone(), 5.0);
        cluster.run(3_500);
        cluster.faults.hung_machines.insert(machine);
    }
    cluster.run(40_000);
}

pub(super) fn load_in_batches(cluster: &mut SimulatedCluster) {
    cluster.batch_window = Some(25);
    cluster.faults.zone_capacity = Some(5);
    (cluster.faults.save_checkpoints, cluster.faults.gang_wait) = (true, 700);
    cluster.run(2_000);
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    let kinds = [
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
        JobKind::Service,
    ];
    for number in 0..40_u64 {
        let kind = kinds[number as usize % kinds.len()];
        let mut job = short_job(&format!("run-{number}"), kind, 1 + number % 5);
        job.priority = priorities[number as usize / 3 % priorities.len()];
        job.gpus = [0.0, 1.0, 2.0][number as usize % 3];
        job.spread_zones = number % 7 == 3;
        job.single_zone = number % 5 == 2;
        job.image = format!("img-{}", number % 6);
        cluster.submit(job);
        cluster.run(1_500);
        if number >= 12 && number % 6 == 0 {
            let service = format!("run-{}", number - 9);
            cluster.cancel(&service);
            cluster.announce_cancellation(0, &service);
        }
        if number == 25 {
            let leader = cluster.crash_leader();
            cluster.run(700);
            cluster.start(leader);
        }
    }
    cluster.submit(whole_machine_gang("run-100", 6).with_priority(Priority::Production));
    cluster.run(40_000);
}

pub(super) fn large_gang_during_steady_small_jobs(cluster: &mut SimulatedCluster) {
    cluster.faults.zone_capacity = Some(7);
    cluster.run(2_000);
    for second in 0..190 {
        let small_job =
            job_with_duration(&format!("run-{second}"), JobKind::Array, 4, 30.0).in_zone("east");
        cluster.submit(small_job);
        if second == 40 {
            let mut gang = whole_machine_gang("run-1000", 5);
            gang.single_zone = true;
            cluster.submit(gang);
        }
        cluster.run(1_000);
    }
}
