//! Scheduling passes: plan a round on the model as it stands, and have it written.

use super::Engine;
use crate::constants;
use crate::model::{Job, JobId, Resources};
use crate::placement::{self, Candidate, QuotaUsage, RoundLimits, RoundPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Engine {
    /// Plans a round if something has changed that may allow a placement.
    pub(super) fn schedule_when_due(&mut self) {
        self.retry_round_writes();
        let now = self.context.now();
        let may_start = self.holds_valid_lease();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let writing = leader.rounds.is_writing_single();
        if writing || !leader.scheduling.is_due(now) || !may_start {
            return;
        }
        leader.scheduling.begin_pass(now);
        self.refresh_snapshots();
        let plan = self.plan_round();
        self.write_round(&plan.starts);
        self.write_round(&plan.large_gang);
        self.set_demand(plan.unplaced);
    }

    /// Whether a round is to be planned as soon as may be.
    pub(super) fn is_scheduling_imminent(&self) -> bool {
        let leader = self.leadership.leader();
        self.holds_valid_lease()
            && leader.is_some_and(|leader| {
                leader.scheduling.is_requested() && leader.autoscaling.has_demand()
            })
    }

    /// Plans on the model as it stands.
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

    /// What a round may hold so that one transaction writes it.
    fn round_limits(&self) -> RoundLimits {
        let records = self.records_per_transaction();
        // Besides its jobs, a round's conditions name the leader's key and its own records.
        let conditions =
            constants::CONDITIONS_PER_MUTATION * self.context.settings().cluster.state.txn_ops;
        let leader = self.leadership.leader();
        RoundLimits {
            starts: records * self.starts_per_record(),
            jobs: conditions - 1 - records,
            allows_large_gang: leader.is_some_and(|leader| !leader.rounds.is_writing_several()),
        }
    }

    /// Starts that one record of a round holds.
    pub(super) fn starts_per_record(&self) -> usize {
        let by_size =
            self.context.settings().max_value_bytes() / constants::TASK_START_RECORD_BYTES;
        by_size.min(constants::MAX_STARTS_PER_TRANSACTION)
    }

    /// Records of a round that one transaction writes.
    pub(super) fn records_per_transaction(&self) -> usize {
        let by_size = constants::MAX_STARTS_PER_TRANSACTION / self.starts_per_record();
        by_size.clamp(1, self.context.settings().cluster.state.txn_ops)
    }

    /// What teams use, counting every task that may be on a machine.
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

    /// Jobs that may start tasks now, in the order in which they are served.
    pub(super) fn candidates(&self) -> Vec<Candidate<'_>> {
        let within_guarantee = self.jobs_within_guarantee();
        let orphaned: BTreeSet<&JobId> = self
            .leadership
            .leader()
            .into_iter()
            .flat_map(|leader| leader.machines.values())
            .flat_map(|machine| machine.orphaned_tasks.iter().map(|(task, _)| &task.job))
            .collect();
        let mut candidates: Vec<Candidate<'_>> = self
            .jobs
            .iter()
            // No task of a job starts while a machine still has one that is unaccounted for.
            .filter(|(id, job)| self.may_start_tasks(job) && !orphaned.contains(id))
            .filter_map(|(id, job)| {
                Some(Candidate {
                    id,
                    job,
                    within_guarantee: within_guarantee.contains(id),
                    starving: job.is_starving(self.context.unix_time()),
                    placed_by_zone: self.placed_tasks_by_zone(job)?,
                })
            })
            .collect();
        placement::sort_by_service_order(&mut candidates);
        candidates
    }

    /// Whether tasks of the job wait and may be started now.
    fn may_start_tasks(&self, job: &Job) -> bool {
        job.is_open()
            && !job.pending.is_empty()
            && job.backoff_until <= self.context.now()
            // A gang restarts only when its last attempt is surely gone.
            && (!job.is_gang() || job.placements.is_empty())
    }

    /// The job's placed tasks by zone; `None` while a machine's zone is not known yet.
    fn placed_tasks_by_zone(&self, job: &Job) -> Option<BTreeMap<Arc<str>, u32>> {
        let leader = self.leadership.leader()?;
        let mut zones = BTreeMap::new();
        for placement in job.placements.values() {
            let zone = &leader.machines.get(&placement.machine)?.zone;
            if zone.is_empty() && (job.spec.single_zone || job.spec.spread_zones) {
                return None;
            }
            *zones.entry(zone.clone()).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    pub(super) fn jobs_within_guarantee(&self) -> BTreeSet<JobId> {
        let mut open: Vec<_> = self.jobs.iter().filter(|(_, job)| job.is_open()).collect();
        open.sort_by_key(|(id, job)| (job.submitted_at, *id));
        let mut requested: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (id, job) in open {
            let Some(team) = self.context.settings().team(&job.spec.team) else {
                continue;
            };
            let total = requested.entry(&job.spec.team).or_default();
            *total += job.spec.total_request();
            if team.guarantee().is_bounded() && team.guarantee().allows(*total) {
                within.insert(id.clone());
            }
        }
        within
    }
}
