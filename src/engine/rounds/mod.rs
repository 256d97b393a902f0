//! Rounds: planned on the model, written as conditional transactions, then sent to the workers.
//!
//! This module plans. [`writing`] makes a round durable, and [`housekeeping`] undoes starts that
//! stall and removes the records of rounds that are over.

mod housekeeping;
mod writing;

use super::Engine;
use crate::constants;
use crate::model::{JobId, MachineId, Ms, Resources};
use crate::placement::{self, Bounds, Candidate, QuotaUsage, RoundPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use writing::Writing;

/// Starts of tasks of one job on one machine.
#[derive(Debug, Clone)]
pub(super) struct StartGroup {
    pub job: JobId,
    pub machine: MachineId,
    pub tasks: Vec<u32>,
}

/// One record of a round in the state service.
#[derive(Debug)]
pub(super) struct RoundPart {
    pub key: String,
    pub starts: Vec<StartGroup>,
}

/// A round: starts that share one attempt number, in one or more records.
#[derive(Debug, Default)]
pub(super) struct Round {
    pub parts: Vec<RoundPart>,
}

impl Round {
    pub fn starts(&self) -> impl Iterator<Item = &StartGroup> {
        self.parts.iter().flat_map(|part| &part.starts)
    }
}

/// The rounds of a leader, by number. A round's number is the attempt number of all its starts.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Durable rounds whose records are still needed.
    pub open: BTreeMap<u64, Round>,
    /// Rounds being written: at most one of a single transaction and one of several.
    writing: BTreeMap<u64, Writing>,
    /// Rounds of this term so far.
    count: u64,
    housekeeping_at: Ms,
    orphans: housekeeping::OrphanSearch,
}

impl Engine {
    /// Plans a round if something has changed that may allow a placement.
    pub(super) fn schedule_when_due(&mut self) {
        self.repeat_round_writes();
        let now = self.now;
        let confident = self.holds_valid_lease();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let busy = leader.rounds.is_writing_single();
        if busy || !leader.needs_scheduling || now < leader.next_scheduling_at || !confident {
            return;
        }
        leader.needs_scheduling = false;
        leader.next_scheduling_at = now + constants::SCHEDULING_INTERVAL_MS;
        self.refresh_snapshots();
        let plan = self.plan();
        self.write_round(plan.starts);
        self.write_round(plan.large_gang);
        self.set_demand(plan.unplaced);
    }

    /// Whether a round is to be planned as soon as may be.
    pub(super) fn is_scheduling_imminent(&self) -> bool {
        self.holds_valid_lease()
            && self
                .leader()
                .is_some_and(|l| l.needs_scheduling && !l.autoscaling.demand.is_empty())
    }

    /// Plans on the model as it stands.
    fn plan(&self) -> RoundPlan {
        let Some(leader) = self.leader() else {
            return RoundPlan::default();
        };
        let candidates = self.candidates();
        if candidates.is_empty() {
            return RoundPlan::default();
        }
        let bounds = self.round_bounds();
        let mut snapshots = leader.machines.ready(placement::least_room(&candidates));
        placement::plan(&candidates, &mut snapshots, &mut self.quotas(), bounds)
    }

    /// What a round may hold so that one transaction writes it.
    fn round_bounds(&self) -> Bounds {
        let changes = self.settings.cluster.state.txn_ops;
        let records = self.records_per_transaction();
        // Besides its jobs, a round's conditions name the leader's key and its own records.
        let conditions = 4 * changes;
        Bounds {
            starts: records * self.starts_per_record(),
            jobs: conditions - 1 - records,
            large_gang: self
                .leader()
                .is_some_and(|leader| !leader.rounds.is_writing_several()),
        }
    }

    /// Starts that one record holds.
    fn starts_per_record(&self) -> usize {
        let by_size = self.settings.max_value_bytes() / constants::TASK_START_RECORD_BYTES;
        by_size.min(constants::MAX_STARTS_PER_TRANSACTION)
    }

    /// Records of a round that one transaction writes.
    fn records_per_transaction(&self) -> usize {
        let by_size = constants::MAX_STARTS_PER_TRANSACTION / self.starts_per_record();
        by_size.clamp(1, self.settings.cluster.state.txn_ops)
    }

    /// What teams use, counting every task that may be on a machine.
    pub(super) fn quotas(&self) -> QuotaUsage {
        let mut quotas = QuotaUsage::default();
        for team in &self.settings.cluster.teams {
            quotas
                .limits
                .insert(team.name.as_str().into(), team.limit());
        }
        for job in self.jobs.values() {
            *quotas.used.entry(job.spec.team.clone()).or_default() += job.allocated();
        }
        quotas
    }

    /// Jobs that may start tasks now, in the order in which they are served.
    pub(super) fn candidates(&self) -> Vec<Candidate<'_>> {
        let within_guarantee = self.within_guarantee();
        let orphaned: BTreeSet<&JobId> = self
            .leader()
            .into_iter()
            .flat_map(|l| l.machines.values())
            .flat_map(|m| m.orphaned_tasks.iter().map(|(task, _)| &task.job))
            .collect();
        let mut candidates: Vec<Candidate<'_>> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                job.is_open()
                    && !job.pending.is_empty()
                    && job.backoff_until <= self.now
                    // No task of a job starts while a machine still has one that is unaccounted for.
                    && !orphaned.contains(id)
                    // A gang restarts only when its last attempt is surely gone.
                    && (!job.is_gang() || job.placements.is_empty())
            })
            .filter_map(|(id, job)| {
                let zones = self.zones_of(job)?;
                Some(Candidate {
                    id,
                    job,
                    within_guarantee: within_guarantee.contains(id),
                    starving: job.is_starving(self.unix_ms),
                    zones,
                })
            })
            .collect();
        placement::order(&mut candidates);
        candidates
    }

    /// The job's placed tasks by zone; `None` while a machine's zone is not known yet.
    fn zones_of(&self, job: &crate::model::Job) -> Option<BTreeMap<Arc<str>, u32>> {
        let leader = self.leader()?;
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
    pub(super) fn within_guarantee(&self) -> BTreeSet<JobId> {
        let mut open: Vec<_> = self.jobs.iter().filter(|(_, job)| job.is_open()).collect();
        open.sort_by_key(|(id, job)| (job.submitted_at, *id));
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (id, job) in open {
            let Some(team) = self.settings.team(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            *sum += job.spec.total_request();
            if team.guarantee().is_bounded() && team.guarantee().allows(*sum) {
                within.insert(id.clone());
            }
        }
        within
    }
}
