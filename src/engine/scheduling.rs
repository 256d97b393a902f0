//! Scheduling passes. A pass plans a round of task starts from the current model and hands the
//! round over to be written to the state service.

use super::Engine;
use crate::constants;
use crate::model::{Job, JobId, Resources};
use crate::placement::{self, Candidate, QuotaUsage, RoundLimits, RoundPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Engine {
    /// Retries writes of rounds, and runs a scheduling pass if one is due because something has
    /// changed that may allow a placement. Does not run the pass without a valid lease, or while a
    /// round that takes a single transaction is being written.
    pub(super) fn schedule_when_due(&mut self) {
        self.retry_round_writes();
        let now = self.context.now();
        let has_valid_lease = self.holds_valid_lease();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let is_writing = leader.rounds.is_writing_single();
        if is_writing || !leader.scheduling.is_due(now) || !has_valid_lease {
            return;
        }
        leader.scheduling.begin_pass(now);
        self.refresh_snapshots();
        let plan = self.plan_round();
        self.write_round(&plan.starts);
        self.write_round(&plan.large_gang);
        self.set_demand(plan.unplaced);
    }

    /// Reports whether a round with starts is likely soon: a scheduling pass has been requested,
    /// the last pass left tasks unplaced, and this node holds a valid lease.
    pub(super) fn is_scheduling_imminent(&self) -> bool {
        let leader = self.leadership.leader();
        self.holds_valid_lease()
            && leader.is_some_and(|leader| {
                leader.scheduling.is_requested() && leader.autoscaling.has_demand()
            })
    }

    /// Plans a round from the current model. Returns an empty plan if this node does not lead or no
    /// job can start tasks.
    fn plan_round(&self) -> RoundPlan {
        let Some(leader) = self.leadership.leader() else {
            return RoundPlan::default();
        };
        let candidates = self.candidates();
        if candidates.is_empty() {
            return RoundPlan::default();
        }
        let limits = self.round_limits();
        let min_available = placement::min_available(&candidates);
        let mut snapshots = leader.machines.schedulable(min_available);
        placement::plan_round(&candidates, &mut snapshots, &mut self.quota_usage(), limits)
    }

    /// Returns the limits within which a round can be written by one transaction.
    fn round_limits(&self) -> RoundLimits {
        let records = self.records_per_transaction();
        // The conditions of a round's transaction cover the leader's key and the round's own
        // records in addition to one key for each job.
        let conditions =
            constants::CONDITIONS_PER_MUTATION * self.context.settings().cluster.state.txn_ops;
        let leader = self.leadership.leader();
        RoundLimits {
            max_starts: records * self.starts_per_record(),
            max_jobs: conditions - 1 - records,
            allows_large_gang: leader.is_some_and(|leader| !leader.rounds.is_writing_several()),
        }
    }

    /// Returns the maximum number of task starts in one record of a round.
    pub(super) fn starts_per_record(&self) -> usize {
        let by_size =
            self.context.settings().max_value_bytes() / constants::TASK_START_RECORD_BYTES;
        by_size.min(constants::MAX_STARTS_PER_TRANSACTION)
    }

    /// Returns the maximum number of records of a round that one transaction writes.
    pub(super) fn records_per_transaction(&self) -> usize {
        let by_size = constants::MAX_STARTS_PER_TRANSACTION / self.starts_per_record();
        by_size.clamp(1, self.context.settings().cluster.state.txn_ops)
    }

    /// Returns the resources that each team uses and its limit. Every task that may be on a machine
    /// counts as using resources.
    fn quota_usage(&self) -> QuotaUsage {
        let mut usage = QuotaUsage::default();
        for team in &self.context.settings().cluster.teams {
            let name = team.name.as_str().into();
            usage.set_limit(name, team.limit());
        }
        for job in self.jobs.values() {
            usage.add_usage(&job.spec.team, job.allocated());
        }
        usage
    }

    /// Returns the jobs that can start tasks now, in the order in which they are served.
    pub(super) fn candidates(&self) -> Vec<Candidate<'_>> {
        let within_guarantee = self.jobs_within_guarantee();
        let jobs_with_orphans: BTreeSet<&JobId> = self
            .leadership
            .leader()
            .into_iter()
            .flat_map(|leader| leader.machines.values())
            .flat_map(|machine| machine.orphaned_tasks.iter().map(|(task, _)| &task.job))
            .collect();
        let mut candidates: Vec<Candidate<'_>> = self
            .jobs
            .iter()
            // A job starts no task while a machine still has an orphaned task of that job.
            .filter(|(id, job)| self.can_start_tasks(job) && !jobs_with_orphans.contains(id))
            .filter_map(|(id, job)| {
                Some(Candidate {
                    id,
                    job,
                    within_guarantee: within_guarantee.contains(id),
                    starving: job.is_starving(self.context.unix_time()),
                    placed_by_zone: self.placed_tasks_by_zone(job)?,
                    preempted_machines: self.preempted_machines(id),
                })
            })
            .collect();
        placement::sort_by_service_order(&mut candidates);
        candidates
    }

    /// Reports whether the job has pending tasks that may be started now.
    fn can_start_tasks(&self, job: &Job) -> bool {
        job.is_open()
            && !job.pending.is_empty()
            && job.backoff_until <= self.context.now()
            // A gang restarts only after every task of its previous attempt has left its machine.
            && (!job.is_gang() || job.placements.is_empty())
    }

    /// Returns the number of the job's placed tasks in each zone, or `None` if a task's machine is
    /// unknown, or if the machine's zone is not known yet and the job must be in a single zone or
    /// spread over zones.
    fn placed_tasks_by_zone(&self, job: &Job) -> Option<BTreeMap<Arc<str>, u32>> {
        let leader = self.leadership.leader()?;
        let mut tasks_by_zone = BTreeMap::new();
        for placement in job.placements.values() {
            let zone = &leader.machines.get(&placement.machine)?.zone;
            if zone.is_empty() && (job.spec.single_zone || job.spec.spread_zones) {
                return None;
            }
            *tasks_by_zone.entry(zone.clone()).or_insert(0) += 1;
        }
        Some(tasks_by_zone)
    }

    /// Returns the open jobs whose total request, added to those of their team's earlier open jobs,
    /// fits in the team's guarantee. A team without a guarantee has no such jobs.
    pub(super) fn jobs_within_guarantee(&self) -> BTreeSet<JobId> {
        let mut open_jobs: Vec<_> = self.jobs.iter().filter(|(_, job)| job.is_open()).collect();
        open_jobs.sort_by_key(|(id, job)| (job.submitted_at, *id));
        let mut requested: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within_guarantee = BTreeSet::new();
        for (id, job) in open_jobs {
            let Some(team) = self.context.settings().team(&job.spec.team) else {
                continue;
            };
            let total = requested.entry(&job.spec.team).or_default();
            *total += job.spec.total_request();
            if team.guarantee().is_bounded() && team.guarantee().allows(*total) {
                within_guarantee.insert(id.clone());
            }
        }
        within_guarantee
    }
}
