//! The planner of a round of task starts.

use super::candidate::{Candidate, min_request};
use super::gang::assign_gang;
use super::packing::{Assignment, assign_tasks, assigned_tasks};
use super::quota::QuotaUsage;
use super::reservation::{reserve, reserve_for_gang};
use super::round::{RoundLimits, RoundPlan, TaskStart, UnplacedTasks};
use super::snapshot::MachineSnapshot;
use crate::constants::MAX_UNPLACED_TASKS;
use crate::model::{JobId, JobSpec};
use crate::wire::user::JobKind;

/// Plans a round within `limits` for candidates, which must be sorted in the order of service.
/// Afterwards, `snapshots` and `quotas` reflect the planned starts, nothing is available on
/// reserved machines, and the snapshots are reordered.
pub fn plan_round(
    candidates: &[Candidate<'_>],
    snapshots: &mut Vec<MachineSnapshot>,
    quotas: &mut QuotaUsage,
    limits: RoundLimits,
) -> RoundPlan {
    let machines_with_room = move_machines_with_room_first(snapshots, candidates);
    let mut planner = RoundPlanner {
        snapshots,
        machines_with_room,
        quotas,
        limits,
        jobs_with_starts: 0,
        plan: RoundPlan::default(),
    };
    for candidate in candidates {
        planner.plan_candidate(candidate);
    }
    planner.plan
}

/// Moves the machines that have room for the smallest request to the front and returns their
/// number. For each job, the planner then skips the other machines, which are most machines of a
/// busy cluster.
fn move_machines_with_room_first(
    snapshots: &mut Vec<MachineSnapshot>,
    candidates: &[Candidate<'_>],
) -> usize {
    let Some(min_request) = min_request(candidates) else {
        return 0;
    };
    let (with_room, without_room): (Vec<MachineSnapshot>, Vec<MachineSnapshot>) =
        std::mem::take(snapshots)
            .into_iter()
            .partition(|snapshot| min_request.fits_in(snapshot.available));
    let count = with_room.len();
    snapshots.extend(with_room);
    snapshots.extend(without_room);
    count
}

/// Result of planning the tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangOutcome {
    /// All tasks of the gang start.
    Placed,
    /// The limit of the gang's team does not allow the gang.
    OverQuota,
    /// The starts of the gang exceed what the round can still hold.
    RoundFull,
    /// The machines do not have room for all tasks of the gang.
    NoRoom,
}

/// State of a round while it is being planned.
struct RoundPlanner<'a> {
    /// All machines. Those that had room when the pass began come first.
    snapshots: &'a mut [MachineSnapshot],
    /// Number of machines that had room when the pass began.
    machines_with_room: usize,
    quotas: &'a mut QuotaUsage,
    limits: RoundLimits,
    /// Number of jobs that have starts in `plan.starts`.
    jobs_with_starts: usize,
    plan: RoundPlan,
}

impl RoundPlanner<'_> {
    /// Plans the tasks of a job, and reserves machines for a starving gang that does not fit.
    fn plan_candidate(&mut self, candidate: &Candidate<'_>) {
        let starts_before = self.plan.starts.len();
        if candidate.job.spec.kind == JobKind::Gang {
            let outcome = self.plan_gang(candidate);
            if outcome == GangOutcome::NoRoom {
                self.reserve_machines_for(candidate);
            }
        } else {
            self.plan_tasks(candidate);
        }
        self.jobs_with_starts += usize::from(self.plan.starts.len() > starts_before);
    }

    /// Reserves machines for a gang that does not fit, if tasks are being stopped for it or if it
    /// is starving.
    fn reserve_machines_for(&mut self, candidate: &Candidate<'_>) {
        if let Some(machines) = candidate.preempted_machines {
            reserve(machines, self.snapshots);
        } else if candidate.can_reserve_machines() {
            reserve_for_gang(&candidate.job.spec, self.snapshots);
        }
    }

    /// Returns how many more starts the round may hold. A full round does not end the pass, because
    /// scaling out requires the number of tasks for which machines have no room.
    fn remaining_starts(&self) -> usize {
        if self.jobs_with_starts < self.limits.max_jobs {
            self.limits
                .max_starts
                .saturating_sub(self.plan.starts.len())
        } else {
            0
        }
    }

    /// Plans the start of as many tasks of a job as its team's limit, the round and the machines
    /// allow.
    fn plan_tasks(&mut self, candidate: &Candidate<'_>) {
        let spec = &candidate.job.spec;
        let remaining = self.remaining_starts().min(u32::MAX as usize) as u32;
        // Unplaced tasks are counted up to a maximum, so a very large array is not counted in full.
        let max_counted = remaining.saturating_add(MAX_UNPLACED_TASKS);
        let pending = candidate.job.pending.len() as u32;
        let tasks_within_quota =
            self.quotas
                .reserve(&spec.team, spec.request, pending.min(max_counted));
        let assignments = assign_tasks(
            spec,
            &candidate.placed_by_zone,
            &self.snapshots[..self.machines_with_room],
            tasks_within_quota.min(remaining),
            None,
        );
        let unplaced = tasks_within_quota - assigned_tasks(&assignments);
        let indices = candidate.job.pending.iter();
        let starts = self.allocate(candidate.id, spec, indices, &assignments);
        self.plan.starts.extend(starts);
        if unplaced > 0 {
            let released = spec.request.times(u64::from(unplaced));
            self.quotas.release(&spec.team, released);
            self.plan.unplaced.push(UnplacedTasks {
                job: candidate.id.clone(),
                tasks: unplaced.min(MAX_UNPLACED_TASKS),
            });
        }
    }

    /// Plans the start of all tasks of a gang, or of none.
    fn plan_gang(&mut self, candidate: &Candidate<'_>) -> GangOutcome {
        let spec = &candidate.job.spec;
        let total_request = spec.total_request();
        if self.quotas.reserve(&spec.team, total_request, 1) == 0 {
            return GangOutcome::OverQuota;
        }
        let fits_in_round = spec.tasks as usize <= self.remaining_starts_for_gang(spec);
        let with_room = &self.snapshots[..self.machines_with_room];
        let assignments = fits_in_round
            .then(|| assign_gang(spec, with_room))
            .flatten();
        let Some(assignments) = assignments else {
            self.quotas.release(&spec.team, total_request);
            self.plan.unplaced.push(UnplacedTasks {
                job: candidate.id.clone(),
                tasks: spec.tasks,
            });
            return if fits_in_round {
                GangOutcome::NoRoom
            } else {
                GangOutcome::RoundFull
            };
        };
        let starts = self.allocate(candidate.id, spec, 0..spec.tasks, &assignments);
        if self.is_large_gang(spec) {
            self.plan.large_gang = starts;
        } else {
            self.plan.starts.extend(starts);
        }
        GangOutcome::Placed
    }

    /// Reports whether the gang has more starts than one transaction can write.
    fn is_large_gang(&self, spec: &JobSpec) -> bool {
        spec.tasks as usize > self.limits.max_starts
    }

    /// Returns how many more starts the round of this gang may hold. A large gang is placed in a
    /// separate round.
    fn remaining_starts_for_gang(&self, spec: &JobSpec) -> usize {
        if !self.is_large_gang(spec) {
            self.remaining_starts()
        } else if self.limits.allows_large_gang && self.plan.large_gang.is_empty() {
            usize::MAX
        } else {
            0
        }
    }

    /// Allocates the resources of the assignments and returns the starts of the job's tasks on the
    /// assigned machines. The tasks' indices are taken from `indices`.
    fn allocate(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        mut indices: impl Iterator<Item = u32>,
        assignments: &[Assignment],
    ) -> Vec<TaskStart> {
        let mut starts = Vec::new();
        for assignment in assignments {
            let snapshot = &mut self.snapshots[assignment.machine_index];
            snapshot.allocate(spec, assignment.tasks);
            for index in indices.by_ref().take(assignment.tasks as usize) {
                starts.push(TaskStart {
                    job: id.clone(),
                    index,
                    machine: snapshot.id.clone(),
                });
            }
        }
        starts
    }
}
