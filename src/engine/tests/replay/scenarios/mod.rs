//! The scenarios whose engines are recorded.

mod faults;
mod jobs;
mod load;

use super::script::Script;
use crate::engine::tests::simulated_cluster::SimulatedCluster;

/// A scenario to record.
pub(crate) struct Scenario {
    /// Name of the scenario, and of its fixture file without the extension.
    pub(crate) name: &'static str,
    /// GPU limit of the team.
    gpus_max: f64,
    /// Submits the jobs and injects the faults.
    run: fn(&mut SimulatedCluster),
}

impl Scenario {
    /// Runs the scenario in a cluster of three nodes and returns the recorded script.
    pub(crate) fn record(&self) -> Script {
        let mut cluster = SimulatedCluster::new(3, self.gpus_max);
        cluster.start_recording();
        (self.run)(&mut cluster);
        cluster.finish_recording()
    }
}

/// All recorded scenarios.
pub(crate) const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "kinds",
        gpus_max: 12.0,
        run: jobs::all_job_kinds_and_a_leader_crash,
    },
    Scenario {
        name: "dependencies",
        gpus_max: 12.0,
        run: jobs::dependencies_and_cancellations,
    },
    Scenario {
        name: "preemption",
        gpus_max: 40.0,
        run: load::preemption_and_reclaimed_machines,
    },
    Scenario {
        name: "machines",
        gpus_max: 12.0,
        run: faults::lost_machines_and_faulty_machine_lists,
    },
    Scenario {
        name: "partitions",
        gpus_max: 12.0,
        run: faults::partitions_and_unanswered_calls,
    },
    Scenario {
        name: "consolidation",
        gpus_max: 12.0,
        run: faults::consolidation_of_half_empty_machines,
    },
    Scenario {
        name: "load",
        gpus_max: 48.0,
        run: load::load_in_batches,
    },
    Scenario {
        name: "starvation",
        gpus_max: 400.0,
        run: load::large_gang_during_steady_small_jobs,
    },
];
