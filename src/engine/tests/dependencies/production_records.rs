//! Records of the production version, which does not support dependencies.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{assert_completes, dependent_job};
use super::production;
use crate::wire::user::tests::job_submission;
use crate::wire::user::{JobKind, JobState};

fn restart_all_nodes(cluster: &mut SimulatedCluster, while_down: impl Fn(&mut SimulatedCluster)) {
    cluster.crash_all_nodes();
    cluster.run(6_000);
    while_down(cluster);
    cluster.start_all_nodes();
}

/// Leadership passes from the production version to the version under test, back to the production
/// version, and to the version under test again. The production version is simulated by the records
/// that it wrote, and by its handling of a job whose record it can't read: the job's user cancels
/// it, and the production version deletes the record.
#[test]
fn leaders_continue_from_records_of_the_production_version() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    restart_all_nodes(&mut cluster, |cluster| {
        let mut gang = job_submission("run-7", JobKind::Gang, 2);
        gang.expected_duration_s = 20.0;
        cluster.jobs.insert("run-7".into(), gang);
        cluster.put_record("term", production!("term"));
        cluster.put_record("live/job/run-7", production!("open"));
        // This round belongs to the production version's term and names a machine that has been
        // returned.
        cluster.put_record("rounds/0000000000700001", production!("round"));
    });
    assert!(cluster.run_until(10_000, |cluster| cluster.leader().is_some()));
    assert!(cluster.term() > 7);
    for dependent in [
        dependent_job("run-8", JobKind::Array, 1, &["run-7"]),
        dependent_job("run-9", JobKind::Array, 1, &["run-7"]),
        dependent_job("run-10", JobKind::Array, 1, &["run-9"]),
    ] {
        cluster.submit(dependent);
    }
    assert!(cluster.run_until(90_000, |cluster| cluster.running_tasks("run-7") == 2));
    restart_all_nodes(&mut cluster, |cluster| {
        assert!(cluster.has_live_record("run-9"));
        cluster.delete_record("live/job/run-9");
        cluster.put_record("final/run-9", production!("final_aborted"));
    });
    assert_completes(&mut cluster, "run-8", 120_000);
    assert!(cluster.is_done("run-7"));
    assert!(
        cluster.run_until(10_000, |cluster| cluster.final_state("run-10")
            == Some(JobState::Cancelled))
    );
    cluster.run(5_000);
    for prefix in ["live/job/", "rounds/"] {
        assert_eq!(cluster.count_keys(prefix), 0, "{prefix}");
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}
