//! Rounds: planned on the model, written as conditional transactions, then sent to the workers.
//!
//! This module plans. [`writing`] makes a round durable, and [`housekeeping`] undoes starts that
//! stall and removes the records of rounds that are over.

mod housekeeping;
mod writing;

use super::Engine;
use crate::constants as k;
use crate::model::{JobId, MachineId, Ms, Resources};
use crate::placement::{self, Bounds, Candidate, Plan, Teams};
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
    pub(super) fn place_when_due(&mut self) {
        self.repeat_round_writes();
        let now = self.now;
        let confident = self.holds_valid_lease();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let busy = leader.rounds.is_writing_single();
        if busy || !leader.dirty || now < leader.place_at || !confident {
            return;
        }
        leader.dirty = false;
        leader.place_at = now + k::PLACE_EVERY_MS;
        self.refresh_slots();
        let plan = self.plan();
        self.write_round(plan.starts);
        self.write_round(plan.large_gang);
        self.set_demand(plan.unplaced);
    }

    /// Whether a round is to be planned as soon as may be.
    pub(super) fn is_placing(&self) -> bool {
        self.holds_valid_lease()
            && self
                .leader()
                .is_some_and(|l| l.dirty && !l.provisioning.demand.is_empty())
    }

    /// Plans on the model as it stands.
    fn plan(&self) -> Plan {
        let Some(leader) = self.leader() else {
            return Plan::default();
        };
        let candidates = self.candidates();
        if candidates.is_empty() {
            return Plan::default();
        }
        let bounds = self.round_bounds();
        let mut slots = leader.machines.ready(placement::least_room(&candidates));
        placement::plan(&candidates, &mut slots, &mut self.teams(), bounds)
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
        let by_size = self.settings.value_max() / k::START_BYTES;
        by_size.min(k::TRANSACTION_STARTS)
    }

    /// Records of a round that one transaction writes.
    fn records_per_transaction(&self) -> usize {
        let by_size = k::TRANSACTION_STARTS / self.starts_per_record();
        by_size.clamp(1, self.settings.cluster.state.txn_ops)
    }

    /// What teams use, counting every task that may be on a machine.
    pub(super) fn teams(&self) -> Teams {
        let mut teams = Teams::default();
        for team in &self.settings.cluster.teams {
            teams.limits.insert(team.name.as_str().into(), team.limit());
        }
        for job in self.jobs.values() {
            *teams.used.entry(job.spec.team.clone()).or_default() += job.held();
        }
        teams
    }

    /// Jobs that may start tasks now, in the order in which they are served.
    pub(super) fn candidates(&self) -> Vec<Candidate<'_>> {
        let guaranteed = self.guaranteed();
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
                    && job.not_before <= self.now
                    // No task of a job starts while a machine still has one that is unaccounted for.
                    && !orphaned.contains(id)
                    // A gang restarts only when its last attempt is surely gone.
                    && (!job.is_gang() || job.live.is_empty())
            })
            .filter_map(|(id, job)| {
                let zones = self.zones_of(job)?;
                Some(Candidate {
                    id,
                    job,
                    guaranteed: guaranteed.contains(id),
                    aged: job.is_aged(self.wall),
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
        for placement in job.live.values() {
            let zone = &leader.machines.get(&placement.machine)?.zone;
            if zone.is_empty() && (job.spec.one_zone || job.spec.spread) {
                return None;
            }
            *zones.entry(zone.clone()).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    pub(super) fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut open: Vec<_> = self.jobs.iter().filter(|(_, job)| job.is_open()).collect();
        open.sort_by_key(|(id, job)| (job.submitted, *id));
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (id, job) in open {
            let Some(team) = self.settings.team(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            *sum += job.spec.whole();
            if team.guarantee().is_some() && team.guarantee().holds(*sum) {
                within.insert(id.clone());
            }
        }
        within
    }
}
