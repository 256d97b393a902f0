//! Trial placement of one waiting job on existing machines and on new ones.

use super::offers::Catalog;
use super::plan::WaitingJob;
use crate::placement::{self, Assignment, MachineSnapshot};
use std::sync::Arc;

/// A machine to rent, and the number of the job's tasks that it would take.
struct NewMachine {
    snapshot: MachineSnapshot,
    tasks: u32,
}

/// Simulated placement of a job's waiting tasks.
pub(super) struct TrialPlacement {
    /// Tasks on machines of the snapshots.
    assignments: Vec<Assignment>,
    new_machines: Vec<NewMachine>,
}

impl TrialPlacement {
    /// Simulates the placement of as many of the waiting tasks as fit, first on the machines of the
    /// snapshots, which may include machines to rent for earlier jobs, and then on new machines of
    /// the catalog. With `only_zone`, only machines in that zone are used.
    pub(super) fn new(
        waiting: &WaitingJob<'_>,
        snapshots: &[MachineSnapshot],
        catalog: Catalog<'_>,
        only_zone: Option<&Arc<str>>,
    ) -> TrialPlacement {
        let spec = &waiting.job.spec;
        let mut placed = waiting.placed_by_zone.clone();
        let assignments =
            placement::assign_tasks(spec, &placed, snapshots, waiting.tasks, only_zone);
        for assignment in &assignments {
            let zone = &snapshots[assignment.machine_index].zone;
            placement::add_tasks(&mut placed, zone, assignment.tasks);
        }
        let mut remaining = waiting.tasks - placement::assigned_tasks(&assignments);
        let mut new_machines = Vec::new();
        while remaining > 0
            && let Some(snapshot) = catalog.cheapest_machine(spec, &placed, only_zone)
        {
            let tasks = snapshot.max_tasks(spec, &placed, remaining);
            placement::add_tasks(&mut placed, &snapshot.zone, tasks);
            remaining -= tasks;
            new_machines.push(NewMachine { snapshot, tasks });
        }
        TrialPlacement {
            assignments,
            new_machines,
        }
    }

    /// Reports whether the placement covers all waiting tasks of the job.
    pub(super) fn is_complete(&self, waiting: &WaitingJob<'_>) -> bool {
        let tasks_on_new_machines: u32 =
            self.new_machines.iter().map(|machine| machine.tasks).sum();
        placement::assigned_tasks(&self.assignments) + tasks_on_new_machines == waiting.tasks
    }

    /// Returns the total price per hour of the new machines.
    pub(super) fn price(&self, catalog: Catalog<'_>) -> f64 {
        self.new_machines
            .iter()
            .filter_map(|machine| catalog.price_of(&machine.snapshot))
            .sum()
    }

    /// Returns the indices of the snapshots whose machines take tasks.
    pub(super) fn used_machine_indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.assignments
            .iter()
            .map(|assignment| assignment.machine_index)
    }

    /// Allocates the resources of the job's tasks, and appends the new machines to `snapshots`.
    pub(super) fn allocate(self, waiting: &WaitingJob<'_>, snapshots: &mut Vec<MachineSnapshot>) {
        let spec = &waiting.job.spec;
        for assignment in self.assignments {
            snapshots[assignment.machine_index].allocate(spec, assignment.tasks);
        }
        for NewMachine {
            mut snapshot,
            tasks,
        } in self.new_machines
        {
            snapshot.allocate(spec, tasks);
            snapshots.push(snapshot);
        }
    }
}
