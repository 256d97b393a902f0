//! Rounds: planned on the model, written as one conditional transaction, then sent.

use super::records::{self, JOBS, LEAD, RoundRecord};
use super::{Engine, Op, Role};
use crate::constants as k;
use crate::model::{JobId, MachineId, Ms, Placement, Resources, Stage, TaskId};
use crate::placement::{self, Bounds, Candidate, Plan, Start, Teams};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Txn;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A round on record.
#[derive(Debug, Default)]
pub(super) struct Round {
    pub starts: Vec<(JobId, MachineId, Vec<u32>)>,
    /// Its records, written and read as one.
    pub keys: Vec<String>,
}

#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Records in the state service, by number.
    pub open: BTreeMap<u64, Round>,
    /// The round being written, repeated until its outcome is known.
    writing: Option<Writing>,
    count: u64,
    keep_at: Ms,
}

#[derive(Debug)]
struct Writing {
    number: u64,
    round: Round,
    txn: Txn,
    retry: super::Retry,
}

impl Engine {
    pub(super) fn place_when_due(&mut self) {
        let now = self.now;
        let confident = self.holds_valid_lease();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(writing) = &mut leader.rounds.writing {
            if writing.retry.due(now) {
                writing.retry.busy = true;
                let txn = writing.txn.clone();
                self.store(Op::Round, StoreCall::Commit(txn));
            }
            return;
        }
        if !leader.dirty || now < leader.place_at || !confident {
            return;
        }
        leader.dirty = false;
        leader.place_at = now + k::PLACE_EVERY_MS;
        self.refresh_slots();
        let plan = self.plan();
        self.write_round(plan.starts);
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
        let (ops, record) = (self.settings.cluster.state.txn_ops, self.record_starts());
        let starts = k::ROUND_STARTS.min(ops * record);
        // Besides its jobs, a round's conditions name the leader's key and its own.
        let jobs = 4 * ops - 1 - starts.div_ceil(record);
        let bounds = Bounds { starts, jobs };
        let mut slots = leader.machines.ready();
        placement::plan(&self.candidates(), &mut slots, &mut self.teams(), bounds)
    }

    /// Starts that one record holds. A round may need several: a gang's must all be in one.
    fn record_starts(&self) -> usize {
        self.settings.value_max() / k::START_BYTES
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
        let strays: BTreeSet<&JobId> = self
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
                    && !strays.contains(id)
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

    /// Locks the room on the model and has the round written.
    fn write_round(&mut self, starts: Vec<Start>) {
        if starts.is_empty() {
            return;
        }
        let (now, record_starts) = (self.now, self.record_starts());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.rounds.count += 1;
        let number = (leader.term << k::ROUND_BITS) | leader.rounds.count;
        if leader.rounds.count >> k::ROUND_BITS != 0 {
            return self.step_down("a new term is needed for more rounds");
        }
        let mut round = Round::default();
        let mut txn = Txn::default().when(LEAD, leader.version);
        for (part, starts) in (0..).zip(starts.chunks(record_starts)) {
            let mut grouped: BTreeMap<(&JobId, &MachineId), Vec<u32>> = BTreeMap::new();
            for start in starts {
                let of_job = grouped.entry((&start.job, &start.machine)).or_default();
                of_job.push(start.index);
            }
            let starts = |(&(job, machine), tasks): (&(&JobId, &MachineId), &Vec<u32>)| {
                (job.to_string(), machine.to_string(), tasks.clone())
            };
            let record = RoundRecord {
                starts: grouped.iter().map(starts).collect(),
            };
            let grouped = grouped.into_iter();
            let grouped = grouped.map(|((j, m), tasks)| (j.clone(), m.clone(), tasks));
            round.starts.extend(grouped);
            let key = records::round_key(number, part);
            txn = txn.when(&key, 0).put(&key, records::value(&record));
            round.keys.push(key);
        }
        let mut jobs = BTreeSet::new();
        for start in starts {
            let Some(job) = self.jobs.get_mut(&start.job) else {
                continue;
            };
            job.pending.remove(start.index);
            let placement = Placement {
                machine: start.machine.clone(),
                attempt: number,
                stage: Stage::Planned,
                since: now,
                stop: None,
            };
            job.live.insert(start.index, placement);
            if let Some(machine) = leader.machines.get_mut(&start.machine) {
                machine.tasks.insert(TaskId {
                    job: start.job.clone(),
                    index: start.index,
                });
            }
            // A cancellation that is durable before the round is makes the round fail.
            if jobs.insert(start.job.clone()) {
                txn = txn.when(records::job_key(&start.job.0), job.version);
            }
        }
        let retry = super::Retry {
            busy: true,
            ..Default::default()
        };
        leader.rounds.writing = Some(Writing {
            number,
            round,
            txn: txn.clone(),
            retry,
        });
        self.store(Op::Round, StoreCall::Commit(txn));
    }

    pub(super) fn on_round_written(&mut self, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = &mut leader.rounds.writing else {
            return;
        };
        let ours = |failed: &[String]| writing.round.keys.iter().any(|key| failed.contains(key));
        match result {
            Ok(StoreReply::Committed { .. }) => self.start_round(),
            Err(StoreError::Conflict(failed)) if failed.iter().any(|f| f == LEAD) => {
                self.step_down("a commit found another leader");
            }
            // An earlier copy of this very transaction went through.
            Err(StoreError::Conflict(failed)) if ours(&failed) => self.start_round(),
            Err(StoreError::Conflict(failed)) => {
                tracing::debug!(?failed, "round given up: its jobs have changed");
                self.drop_round();
                // Until the watch tells how, the others must not fail with them again.
                for id in failed.iter().filter_map(|key| key.strip_prefix(JOBS)) {
                    if let Some(job) = self.jobs.get_mut(&id.into()) {
                        job.not_before = job.not_before.max(now + k::CHANGED_PAUSE_MS);
                    }
                }
            }
            Err(StoreError::Bad(why)) => {
                tracing::error!("round refused: {why}");
                self.drop_round();
            }
            _ => writing.retry.failed(now, &mut self.rng),
        }
    }

    /// The round is durable: its starts go out with the answers to the next reports.
    fn start_round(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = leader.rounds.writing.take() else {
            return;
        };
        leader.dirty = true;
        for (job, machine, tasks) in &writing.round.starts {
            tracing::debug!(%job, %machine, ?tasks, number = writing.number, "starts written");
            let Some(job) = self.jobs.get_mut(job) else {
                continue;
            };
            for index in tasks {
                if let Some(p) = job
                    .live
                    .get_mut(index)
                    .filter(|p| p.attempt == writing.number)
                {
                    p.stage = Stage::Starting {
                        sent: None,
                        resends: 0,
                    };
                    p.since = now;
                }
            }
        }
        tracing::debug!(
            number = writing.number,
            starts = writing.round.starts.len(),
            "round written"
        );
        let machines = writing.round.starts.iter().map(|(_, m, _)| m.clone());
        let machines: BTreeSet<MachineId> = machines.collect();
        leader.rounds.open.insert(writing.number, writing.round);
        for machine in machines {
            self.request_report(&machine);
        }
    }

    /// The round surely is not and will not be written: nothing of it was sent.
    fn drop_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = leader.rounds.writing.take() else {
            return;
        };
        for (job, _, tasks) in writing.round.starts {
            for index in tasks {
                let task = TaskId {
                    job: job.clone(),
                    index,
                };
                let ours = self
                    .jobs
                    .get(&task.job)
                    .and_then(|j| j.live.get(&task.index))
                    .is_some_and(|p| p.attempt == writing.number);
                if ours {
                    self.take_off(&task);
                    self.settle_job(&task.job);
                }
            }
        }
    }

    /// Undoes starts that stall, and has records of finished rounds removed.
    pub(super) fn keep_rounds(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.rounds.keep_at {
            return;
        }
        leader.rounds.keep_at = now + k::HOUSEKEEPING_EVERY_MS;
        let jobs = &self.jobs;
        let over: Vec<u64> = leader
            .rounds
            .open
            .iter()
            .filter(|(number, round)| {
                !round.starts.iter().any(|(job, _, tasks)| {
                    jobs.get(job).is_some_and(|job| {
                        tasks.iter().any(|index| {
                            job.live.get(index).is_some_and(|p| p.attempt == **number)
                                || (job.done.contains(*index) && !job.written.contains(*index))
                        })
                    })
                })
            })
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            let round = leader.rounds.open.remove(&number);
            for key in round.into_iter().flat_map(|round| round.keys) {
                leader.ends.remove(key);
            }
        }
        // A job that had to wait after a failure becomes due by time alone, with no event.
        let waiting = self
            .jobs
            .values()
            .any(|job| job.is_open() && !job.pending.is_empty());
        if let Role::Leader(leader) = &mut self.role {
            leader.dirty |= waiting;
        }
        // A start that was never sent, because its machine does not report, can be undone at
        // once; one that was sent stays until the machine's answer proves where it is.
        let stall = 3 * self.timing.report;
        let mut stalled = Vec::new();
        for (id, job) in &self.jobs {
            for (index, p) in &job.live {
                if matches!(p.stage, Stage::Starting { sent: None, .. })
                    && (now.saturating_sub(p.since) > stall || p.stop.is_some())
                {
                    stalled.push(TaskId {
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        for task in stalled {
            tracing::info!(%task, "start undone before it was sent");
            self.lose(&task);
        }
    }
}
