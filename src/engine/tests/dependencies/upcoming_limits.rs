//! Upcoming limits of the state service that take effect while jobs are in progress.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{assert_completes, short_job};
use super::job_chain;
use crate::wire::user::JobKind;

/// The upcoming limits take effect at various times. Whatever is in progress then, no later
/// transaction may exceed them, although the records of jobs that were accepted before are larger
/// than the limits allow.
#[test]
fn no_transaction_exceeds_upcoming_limits_once_in_effect() {
    let upcoming_limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0";
    for effective_after in (500..40_000).step_by(3_100) {
        let mut cluster = SimulatedCluster::with_upcoming_limits(3, 64.0, upcoming_limits);
        let mut large = short_job("run-9", JobKind::Service, 1);
        large.machine_types = Some(vec!["g8".into(), "x".repeat(2_000)]);
        cluster.submit(large);
        cluster.run(2_000);
        for job in job_chain() {
            cluster.submit(job);
        }
        cluster.submit(short_job("run-5", JobKind::Gang, 40));
        cluster.submit(short_job("run-6", JobKind::Array, 20));
        // These jobs complete at the same time.
        for number in 20..32 {
            cluster.submit(short_job(&format!("run-{number}"), JobKind::Array, 1));
        }
        cluster.run(effective_after);
        (cluster.max_mutations, cluster.max_value_bytes) = (4, 2 * 1024);
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 1_000);
        for id in ["run-4", "run-5", "run-6"] {
            assert_completes(&mut cluster, id, 200_000);
        }
        assert_eq!(cluster.running_tasks("run-9"), 1);
        cluster.cancel("run-9");
        assert!(cluster.run_until(20_000, |cluster| cluster.count_keys("live/job/") == 0));
    }
}
