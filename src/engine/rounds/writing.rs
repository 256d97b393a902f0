//! Makes a round durable before any of its starts is sent.
//!
//! A round that fits into one transaction is written by one. A larger one, always a single gang, is
//! written by several: all but the last write records that have no effect by themselves, and the
//! last one makes the round valid as a whole. No start is sent before that. If the leader is lost
//! in between, its successor finds starts that no machine reports, and undoes them like any other
//! start that did not arrive. Every transaction has the same conditions: the leader's key and the
//! versions of the round's jobs. So none can succeed after the job was cancelled, or after another
//! node became leader, however late it is carried out.

use super::{Round, RoundPart, Rounds, StartGroup};
use crate::constants;
use crate::engine::records::{self, JOBS, LEAD, RoundRecord};
use crate::engine::{Engine, PendingCall, Retry, Role};
use crate::model::{JobId, MachineId, Placement, PlacementStage, TaskId};
use crate::placement::TaskStart;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Transaction;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A round whose records are not all known to be durable. The transaction under way is repeated
/// until its outcome is known.
#[derive(Debug)]
pub(super) struct Writing {
    round: Round,
    /// The versions that its jobs' records must still have.
    jobs: BTreeMap<JobId, u64>,
    /// Leading parts that are durable.
    durable: usize,
    /// Parts that one transaction writes.
    per_transaction: usize,
    retry: Retry,
}

impl Writing {
    /// The parts that the transaction under way writes.
    fn under_way(&self) -> Range<usize> {
        let end = self.durable + self.per_transaction;
        self.durable..end.min(self.round.parts.len())
    }

    fn needs_several(&self) -> bool {
        self.round.parts.len() > self.per_transaction
    }

    fn transaction(&self, leader_version: u64) -> Transaction {
        let mut transaction = Transaction::default().compare(LEAD, leader_version);
        for part in &self.round.parts[self.under_way()] {
            let record = RoundRecord {
                starts: part.starts.iter().map(StartGroup::as_record).collect(),
            };
            transaction = transaction
                .compare(&part.key, 0)
                .put(&part.key, records::value(&record));
        }
        for (job, version) in &self.jobs {
            transaction = transaction.compare(records::job_key(&job.0), *version);
        }
        transaction
    }

    /// Whether a failed condition shows that an earlier copy of the transaction was carried out.
    fn is_durable_already(&self, failed: &[String]) -> bool {
        let parts = &self.round.parts[self.under_way()];
        parts.iter().any(|part| failed.contains(&part.key))
    }
}

impl StartGroup {
    fn as_record(&self) -> (String, String, Vec<u32>) {
        let job = self.job.to_string();
        let machine = self.machine.to_string();
        (job, machine, self.tasks.clone())
    }
}

impl Rounds {
    /// Whether a round of one transaction is being written.
    pub(super) fn is_writing_single(&self) -> bool {
        self.writing
            .values()
            .any(|writing| !writing.needs_several())
    }

    /// Whether any round is being written.
    pub(in crate::engine) fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Whether a round of several transactions is being written.
    pub(super) fn is_writing_several(&self) -> bool {
        self.writing.values().any(Writing::needs_several)
    }

    /// Whether a record of this round is or will be needed.
    pub(super) fn knows(&self, number: u64) -> bool {
        self.open.contains_key(&number) || self.writing.contains_key(&number)
    }
}

/// Divides starts into the parts that are written as one record each.
fn parts(number: u64, starts: &[TaskStart], per_record: usize) -> Vec<RoundPart> {
    let part = |(index, starts): (u32, &[TaskStart])| RoundPart {
        key: records::round_key(number, index),
        starts: group(starts),
    };
    (0..).zip(starts.chunks(per_record)).map(part).collect()
}

/// Groups starts by job and machine.
fn group(starts: &[TaskStart]) -> Vec<StartGroup> {
    let mut groups: BTreeMap<(&JobId, &MachineId), Vec<u32>> = BTreeMap::new();
    for start in starts {
        let tasks = groups.entry((&start.job, &start.machine)).or_default();
        tasks.push(start.index);
    }
    let group = |((job, machine), tasks): ((&JobId, &MachineId), Vec<u32>)| StartGroup {
        job: job.clone(),
        machine: machine.clone(),
        tasks,
    };
    groups.into_iter().map(group).collect()
}

impl Engine {
    /// Reserves the resources on the model and has the round written.
    pub(super) fn write_round(&mut self, starts: Vec<TaskStart>) {
        if starts.is_empty() {
            return;
        }
        let per_record = self.starts_per_record();
        let per_transaction = self.records_per_transaction();
        let Some(number) = self.next_round_number() else {
            return;
        };
        let jobs = self.reserve(number, &starts);
        let writing = Writing {
            round: Round {
                parts: parts(number, &starts, per_record),
            },
            jobs,
            durable: 0,
            per_transaction,
            retry: Retry::default(),
        };
        if let Some(leader) = self.leader_mut() {
            leader.rounds.writing.insert(number, writing);
        }
        self.send_transaction(number);
    }

    /// The number of the next round; none if this term has no more, and leadership is given up.
    fn next_round_number(&mut self) -> Option<u64> {
        let leader = self.leader_mut()?;
        leader.rounds.count += 1;
        let (term, count) = (leader.term, leader.rounds.count);
        if count >> constants::ROUND_BITS != 0 {
            self.step_down("a new term is needed for more rounds");
            return None;
        }
        Some((term << constants::ROUND_BITS) | count)
    }

    /// Places the tasks on the model; the versions of their jobs' records.
    fn reserve(&mut self, number: u64, starts: &[TaskStart]) -> BTreeMap<JobId, u64> {
        let now = self.now;
        let mut versions = BTreeMap::new();
        let Role::Leader(leader) = &mut self.role else {
            return versions;
        };
        for start in starts {
            let Some(job) = self.jobs.get_mut(&start.job) else {
                continue;
            };
            job.pending.remove(start.index);
            let placement = Placement {
                machine: start.machine.clone(),
                attempt: number,
                stage: PlacementStage::Planned,
                stage_since: now,
                stop_request: None,
            };
            job.placements.insert(start.index, placement);
            if let Some(machine) = leader.machines.get_mut(&start.machine) {
                machine.tasks.insert(TaskId {
                    job: start.job.clone(),
                    index: start.index,
                });
            }
            versions.insert(start.job.clone(), job.version);
        }
        versions
    }

    /// Sends the round's next transaction, or the one without an answer again.
    fn send_transaction(&mut self, number: u64) {
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let version = leader.version;
        let Some(writing) = leader.rounds.writing.get_mut(&number) else {
            return;
        };
        writing.retry.busy = true;
        let transaction = writing.transaction(version);
        self.call_store(
            PendingCall::WriteRound { number },
            StoreCall::Commit(transaction),
        );
    }

    /// Repeats transactions whose outcome is unknown.
    pub(super) fn repeat_round_writes(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader() else {
            return;
        };
        let writing = leader.rounds.writing.iter();
        let due = writing.filter(|(_, writing)| writing.retry.due(now));
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.send_transaction(number);
        }
    }

    pub(in crate::engine) fn on_round_written(
        &mut self,
        number: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = leader.rounds.writing.get_mut(&number) else {
            return;
        };
        match result {
            Ok(StoreReply::Committed { .. }) => self.on_parts_durable(number),
            Err(StoreError::Conflict(failed)) if failed.iter().any(|f| f == LEAD) => {
                self.step_down("a commit found another leader");
            }
            // An earlier copy of this very transaction went through.
            Err(StoreError::Conflict(failed)) if writing.is_durable_already(&failed) => {
                self.on_parts_durable(number);
            }
            Err(StoreError::Conflict(failed)) => {
                tracing::debug!(?failed, "round given up: its jobs have changed");
                self.drop_round(number);
                self.pause_changed_jobs(&failed);
            }
            Err(StoreError::Malformed(why)) => {
                tracing::error!("round refused: {why}");
                self.drop_round(number);
            }
            _ => {
                writing.retry.failed(now, &mut self.rng);
                // A copy may be carried out after the round's records were removed.
                leader.rounds.orphans.expect(now);
            }
        }
    }

    /// Until the watch tells how the jobs have changed, others must not fail with them again.
    fn pause_changed_jobs(&mut self, failed: &[String]) {
        let until = self.now + constants::CHANGED_JOB_PAUSE_MS;
        for id in failed.iter().filter_map(|key| key.strip_prefix(JOBS)) {
            if let Some(job) = self.jobs.get_mut(&id.into()) {
                job.backoff_until = job.backoff_until.max(until);
            }
        }
    }

    /// A transaction's parts are durable: the next one follows, or the starts go out.
    fn on_parts_durable(&mut self, number: u64) {
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let Some(writing) = leader.rounds.writing.get_mut(&number) else {
            return;
        };
        writing.durable = writing.under_way().end;
        writing.retry = Retry::default();
        if writing.durable == writing.round.parts.len() {
            self.start_round(number);
        } else {
            self.send_transaction(number);
        }
    }

    /// The round is durable: its starts go out with the answers to the next reports.
    fn start_round(&mut self, number: u64) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = leader.rounds.writing.remove(&number) else {
            return;
        };
        leader.needs_scheduling = true;
        let mut machines = BTreeSet::new();
        for StartGroup {
            job,
            machine,
            tasks,
        } in writing.round.starts()
        {
            tracing::debug!(%job, %machine, ?tasks, number, "starts written");
            machines.insert(machine.clone());
            let Some(job) = self.jobs.get_mut(job) else {
                continue;
            };
            for index in tasks {
                let placement = job.placements.get_mut(index);
                if let Some(placement) = placement.filter(|p| p.attempt == number) {
                    placement.stage = PlacementStage::Starting {
                        sent: None,
                        resends: 0,
                    };
                    placement.stage_since = now;
                }
            }
        }
        tracing::debug!(number, parts = writing.round.parts.len(), "round written");
        leader.rounds.open.insert(number, writing.round);
        for machine in machines {
            self.request_heartbeat(&machine);
        }
    }

    /// The round surely is not and will not be valid: nothing of it was sent. Parts that are
    /// durable are removed.
    fn drop_round(&mut self, number: u64) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(writing) = leader.rounds.writing.remove(&number) else {
            return;
        };
        for part in &writing.round.parts[..writing.durable] {
            leader.completions.remove(part.key.clone());
        }
        for group in writing.round.starts() {
            for index in &group.tasks {
                self.withdraw(
                    &TaskId {
                        job: group.job.clone(),
                        index: *index,
                    },
                    number,
                );
            }
        }
    }

    /// Takes a task that was never started off the model; it waits again.
    fn withdraw(&mut self, task: &TaskId, attempt: u64) {
        let placement = self.placement(task);
        if placement.is_some_and(|p| p.attempt == attempt) {
            self.remove_placement(task);
            self.finish_job_if_over(&task.job);
        }
    }
}
