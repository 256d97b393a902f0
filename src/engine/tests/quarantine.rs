//! Machines on which tasks fail, and jobs that fail on every machine.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{
    JobSubmissionExt, assert_completes, cluster_with, job_with_duration, short_job,
};
use crate::constants;
use crate::model::{MachineId, Quarantine, whole_millis};
use crate::wire::user::JobKind;

/// Time within which a job that fails on every machine has failed on both machines of the cluster.
const TIME_TO_FAIL: Millis = 30_000;

/// Creates a cluster of two machines, the most that the cloud has, each with a replica of a service.
fn cluster_of_two_used_machines() -> SimulatedCluster {
    let mut service = short_job("run-1", JobKind::Service, 2);
    service.spread_zones = true;
    let mut cluster = cluster_with(Vec::new());
    cluster.faults.zone_capacity = Some(1);
    cluster.submit(service);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
    assert_eq!(cluster.workers.len(), 2);
    cluster
}

/// Returns why the machine is quarantined, as the leader knows it.
fn quarantine_of(cluster: &SimulatedCluster, machine: &str) -> Option<Quarantine> {
    let engine = cluster.engine(cluster.leader()?)?;
    let leader = engine.leadership.leader()?;
    leader.machines.get(&MachineId::from(machine))?.quarantine
}

/// Returns the number of machines that are quarantined.
fn quarantined_machines(cluster: &SimulatedCluster) -> usize {
    let machines = cluster.workers.keys();
    machines
        .filter(|machine| quarantine_of(cluster, machine).is_some())
        .count()
}

/// Submits two jobs that fail on every machine.
fn submit_faulty_jobs(cluster: &mut SimulatedCluster) {
    for id in ["run-2", "run-3"] {
        cluster.faults.failing_jobs.insert(id.into());
        cluster.submit(short_job(id, JobKind::Array, 1));
    }
}

/// Guards against machines that stay closed because of jobs that fail on every machine, after those
/// are cancelled.
#[test]
fn quarantine_ends_when_the_jobs_that_failed_everywhere_are_cancelled() {
    let mut cluster = cluster_of_two_used_machines();
    submit_faulty_jobs(&mut cluster);
    let closed = cluster.run_until(TIME_TO_FAIL, |cluster| quarantined_machines(cluster) == 2);
    assert!(closed, "both machines are quarantined");
    cluster.run(TIME_TO_FAIL);
    cluster.cancel("run-2");
    cluster.cancel("run-3");
    cluster.submit(short_job("run-4", JobKind::Service, 1));
    assert!(cluster.run_until(10_000, |cluster| cluster.running_tasks("run-4") == 1));
    assert_eq!(cluster.running_tasks("run-1"), 2);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Makes both machines fail all tasks and submits two jobs of that duration. Once both machines are
/// quarantined, lets the cloud have two more.
fn run_jobs_on_new_machines(cluster: &mut SimulatedCluster, duration_s: f64) -> Vec<String> {
    let failing: Vec<String> = cluster.workers.keys().cloned().collect();
    cluster.faults.failing_machines.extend(failing.clone());
    for id in ["run-2", "run-3"] {
        cluster.submit(job_with_duration(id, JobKind::Array, 1, duration_s));
    }
    let closed = cluster.run_until(TIME_TO_FAIL, |cluster| quarantined_machines(cluster) == 2);
    assert!(closed, "both machines are quarantined");
    cluster.run(TIME_TO_FAIL);
    cluster.faults.zone_capacity = Some(2);
    failing
}

/// Guards against a machine that fails every task and gets tasks again because a job that failed
/// there is cancelled although it runs elsewhere.
#[test]
fn quarantine_continues_when_a_job_that_runs_elsewhere_is_cancelled() {
    let mut cluster = cluster_of_two_used_machines();
    let failing = run_jobs_on_new_machines(&mut cluster, 600.0);
    assert!(cluster.run_until(150_000, |cluster| {
        cluster.running_tasks("run-2") + cluster.running_tasks("run-3") == 2
    }));
    cluster.run(whole_millis(constants::SOUND_JOB_RUN_TIME) + 4_000);
    cluster.cancel("run-2");
    cluster.cancel("run-3");
    cluster.run(5_000);
    for machine in failing {
        assert!(quarantine_of(&cluster, &machine).is_some(), "{machine}");
    }
}

/// Guards against a machine that is proven to be at fault and gets tasks again because of what
/// happens to other jobs.
#[test]
fn quarantine_continues_once_a_job_has_completed_elsewhere() {
    let mut cluster = cluster_of_two_used_machines();
    let failing = run_jobs_on_new_machines(&mut cluster, 10.0);
    assert_completes(&mut cluster, "run-2", 150_000);
    assert_completes(&mut cluster, "run-3", 150_000);
    cluster.faults.failing_jobs.insert("run-4".into());
    cluster.submit(short_job("run-4", JobKind::Array, 1));
    cluster.run(TIME_TO_FAIL);
    cluster.cancel("run-4");
    cluster.run(5_000);
    for machine in failing {
        let quarantine = quarantine_of(&cluster, &machine);
        assert_eq!(quarantine, Some(Quarantine::Proven), "{machine}");
    }
}

/// Guards against a machine that is closed later than before, or not at all, if it fails the tasks
/// of a single job only.
#[test]
fn machine_that_fails_one_job_is_quarantined_when_the_job_completes_elsewhere() {
    let mut cluster = cluster_of_two_used_machines();
    let machine = cluster.workers.keys().next().unwrap().clone();
    cluster.faults.failing_machines.insert(machine.clone());
    cluster.submit(short_job("run-2", JobKind::Array, 6));
    assert_completes(&mut cluster, "run-2", 180_000);
    let quarantine = quarantine_of(&cluster, &machine);
    assert_eq!(quarantine, Some(Quarantine::Proven));
}

/// Guards against a single machine that is opened because the jobs that failed there were never
/// started elsewhere.
#[test]
fn quarantine_continues_when_jobs_that_failed_on_one_machine_are_cancelled() {
    let mut cluster = cluster_of_two_used_machines();
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    let zone = cluster.workers[&machine].zone.clone();
    cluster.faults.failing_machines.insert(machine.clone());
    for id in ["run-2", "run-3"] {
        cluster.submit(short_job(id, JobKind::Array, 1).in_zone(&zone));
    }
    let closed = cluster.run_until(TIME_TO_FAIL, |cluster| quarantined_machines(cluster) == 1);
    assert!(closed, "the machine is quarantined");
    cluster.cancel("run-2");
    cluster.cancel("run-3");
    cluster.run(5_000);
    assert!(quarantine_of(&cluster, &machine).is_some());
}
