//! Records of the production version, which knows no dependencies.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{assert_completes, dependent_job};
use super::production;
use crate::wire::user::tests::job_submission;
use crate::wire::user::{JobKind, JobState};

fn restart_all_nodes(cluster: &mut SimulatedCluster, meanwhile: impl Fn(&mut SimulatedCluster)) {
    cluster.crash_all_nodes();
    cluster.run(6_000);
    meanwhile(cluster);
    cluster.start_all_nodes();
}

/// Leadership passes from the production version to the version under test, back, and forth again.
/// The production version is simulated by what it wrote, and by what it does with a job whose
/// record it can't read: its user cancels the job, and it deletes the record.
#[test]
fn records_of_production_version_leaders_are_carried_on() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    restart_all_nodes(&mut cluster, |cluster| {
        let mut gang = job_submission("run-7", JobKind::Gang, 2);
        gang.expected_duration_s = 20.0;
        cluster.jobs.insert("run-7".into(), gang);
        cluster.put_record("term", production!("term"));
        cluster.put_record("live/job/run-7", production!("open"));
        // Of its term, on a machine that has been returned.
        cluster.put_record("rounds/0000000000700001", production!("round"));
    });
    assert!(cluster.run_until(10_000, |w| w.leader().is_some()));
    assert!(cluster.term() > 7);
    for step in [
        dependent_job("run-8", JobKind::Array, 1, &["run-7"]),
        dependent_job("run-9", JobKind::Array, 1, &["run-7"]),
        dependent_job("run-10", JobKind::Array, 1, &["run-9"]),
    ] {
        cluster.submit(step);
    }
    assert!(cluster.run_until(90_000, |w| w.running_tasks("run-7") == 2));
    restart_all_nodes(&mut cluster, |cluster| {
        assert!(cluster.has_live_record("run-9"));
        cluster.delete_record("live/job/run-9");
        cluster.put_record("final/run-9", production!("final_aborted"));
    });
    assert_completes(&mut cluster, "run-8", 120_000);
    assert!(cluster.is_done("run-7"));
    assert!(cluster.run_until(10_000, |w| w.final_state("run-10")
        == Some(JobState::Cancelled)));
    cluster.run(5_000);
    for prefix in ["live/job/", "rounds/"] {
        assert_eq!(cluster.count_keys(prefix), 0, "{prefix}");
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}
