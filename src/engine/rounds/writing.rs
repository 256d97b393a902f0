//! Writes rounds to the state service, and releases their starts once they are durable.

use super::write_state::{RecordLimits, RoundWrite};
use super::{Rounds, StartGroup};
use crate::constants;
use crate::engine::Engine;
use crate::engine::context::Context;
use crate::engine::leadership::StepDownReason;
use crate::engine::messages::PendingCall;
use crate::engine::records::{JOB_PREFIX, LEADER_KEY};
use crate::model::{JobId, MachineId, Placement, PlacementStage, TaskId, Timestamp};
use crate::placement::TaskStart;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Transaction;
use std::collections::{BTreeMap, BTreeSet};

/// The outcome of a round's transaction.
enum WriteOutcome {
    /// The parts that the transaction wrote are durable.
    Durable,
    /// Another node has become leader.
    LeadershipLost,
    /// The round is not valid and can't become valid, because these keys have changed or, if there
    /// are none, because the state service rejected the transaction.
    Abandoned { changed_keys: Vec<String> },
    /// The outcome is unknown.
    Unknown,
}

impl Rounds {
    /// Begins the next transaction of a round, or retries the one that got no response.
    fn begin_transaction(&mut self, number: u64, leader_version: u64) -> Option<Transaction> {
        let write = self.writing.get_mut(&number)?;
        write.retry.begin();
        Some(write.transaction(leader_version))
    }

    /// Returns the numbers of the rounds whose transaction is due for a retry.
    fn due_writes(&self, now: Timestamp) -> Vec<u64> {
        let is_due = |(_, write): &(&u64, &RoundWrite)| write.retry.is_due(now);
        let writes = self.writing.iter().filter(is_due);
        writes.map(|(number, _)| *number).collect()
    }

    /// Classifies the result of a round's transaction. Returns `None` if the round is no longer
    /// being written.
    fn outcome_of(
        &self,
        number: u64,
        result: Result<StoreReply, StoreError>,
    ) -> Option<WriteOutcome> {
        let write = self.writing.get(&number)?;
        Some(match result {
            Ok(StoreReply::Committed { .. }) => WriteOutcome::Durable,
            Err(StoreError::Conflict(failed)) if failed.iter().any(|key| key == LEADER_KEY) => {
                WriteOutcome::LeadershipLost
            }
            // An earlier attempt of the same transaction was applied.
            Err(StoreError::Conflict(failed)) if write.was_already_applied(&failed) => {
                WriteOutcome::Durable
            }
            Err(StoreError::Conflict(changed_keys)) => {
                tracing::debug!(
                    number,
                    ?changed_keys,
                    "round abandoned, its jobs have changed"
                );
                WriteOutcome::Abandoned { changed_keys }
            }
            Err(StoreError::Malformed(error)) => {
                tracing::error!(number, %error, "round rejected");
                WriteOutcome::Abandoned {
                    changed_keys: Vec::new(),
                }
            }
            _ => WriteOutcome::Unknown,
        })
    }

    /// Schedules a retry of the transaction in flight, whose outcome is unknown, and a search for
    /// orphaned records: the state service may still apply the transaction after the round's
    /// records were removed.
    fn on_outcome_unknown(&mut self, number: u64, context: &mut Context) {
        if let Some(write) = self.writing.get_mut(&number) {
            write.retry.record_failure(context);
        }
        self.orphans.expect_late_write(context.now());
    }
}

impl Engine {
    /// Places the tasks in memory and begins to write the round to the state service.
    pub(in crate::engine) fn write_round(&mut self, starts: &[TaskStart]) {
        if starts.is_empty() {
            return;
        }
        let limits = RecordLimits {
            starts_per_record: self.starts_per_record(),
            records_per_transaction: self.records_per_transaction(),
        };
        let Some(number) = self.next_round_number() else {
            return;
        };
        let job_versions = self.place_planned_tasks(number, starts);
        let write = RoundWrite::new(number, starts, job_versions, limits);
        if let Some(leader) = self.leadership.leader_mut() {
            leader.rounds.writing.insert(number, write);
        }
        self.send_round_transaction(number);
    }

    /// Returns the number of the next round. If the term has no numbers left, steps down and
    /// returns `None`.
    fn next_round_number(&mut self) -> Option<u64> {
        let leader = self.leadership.leader_mut()?;
        let term = leader.term();
        let number = leader.rounds.next_number(term);
        if number.is_none() {
            self.step_down(StepDownReason::RoundNumbersExhausted);
        }
        number
    }

    /// Places the tasks in memory as planned, and returns the versions of their jobs' records.
    fn place_planned_tasks(&mut self, number: u64, starts: &[TaskStart]) -> BTreeMap<JobId, u64> {
        let now = self.context.now();
        let mut versions = BTreeMap::new();
        let Some(leader) = self.leadership.leader_mut() else {
            return versions;
        };
        for start in starts {
            let Some(job) = self.jobs.get_mut(&start.job) else {
                continue;
            };
            let machine = start.machine.clone();
            let placement = Placement::new(machine, number, PlacementStage::Planned, now);
            job.place(start.index, placement);
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

    /// Sends the round's next transaction, or resends the one that got no response.
    fn send_round_transaction(&mut self, number: u64) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let version = leader.version();
        if let Some(transaction) = leader.rounds.begin_transaction(number, version) {
            let pending = PendingCall::WriteRound { number };
            self.outbox
                .call_store(pending, StoreCall::Commit(transaction));
        }
    }

    /// Retries the round transactions whose outcome is unknown, once they are due.
    pub(in crate::engine) fn retry_round_writes(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader() else {
            return;
        };
        for number in leader.rounds.due_writes(now) {
            self.send_round_transaction(number);
        }
    }

    /// Handles the result of a round's transaction.
    pub(in crate::engine) fn on_round_written(
        &mut self,
        number: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        match leader.rounds.outcome_of(number, result) {
            None => {}
            Some(WriteOutcome::Durable) => self.on_round_parts_durable(number),
            Some(WriteOutcome::LeadershipLost) => self.step_down(StepDownReason::CommitConflict),
            Some(WriteOutcome::Abandoned { changed_keys }) => {
                self.abandon_round(number);
                self.back_off_changed_jobs(&changed_keys);
            }
            Some(WriteOutcome::Unknown) => {
                leader.rounds.on_outcome_unknown(number, &mut self.context);
            }
        }
    }

    /// Excludes the changed jobs from planning for [`constants::CHANGED_JOB_BACKOFF`], in which the
    /// watch usually delivers their changes. Otherwise the next round could fail because of the
    /// same jobs, and with it the starts of other jobs.
    fn back_off_changed_jobs(&mut self, changed_keys: &[String]) {
        let until = self.context.now() + constants::CHANGED_JOB_BACKOFF;
        let ids = changed_keys.iter();
        for id in ids.filter_map(|key| key.strip_prefix(JOB_PREFIX)) {
            if let Some(job) = self.jobs.get_mut(&id.into()) {
                job.backoff_until = job.backoff_until.max(until);
            }
        }
    }

    /// Handles a durable transaction: sends the round's next one, or releases the round's starts if
    /// it was the last.
    fn on_round_parts_durable(&mut self, number: u64) {
        let leader = self.leadership.leader_mut();
        let Some(write) = leader.and_then(|leader| leader.rounds.writing.get_mut(&number)) else {
            return;
        };
        match write.on_parts_durable() {
            true => self.release_starts(number),
            false => self.send_round_transaction(number),
        }
    }

    /// Releases the starts of a durable round. They are sent with the responses to the machines'
    /// next heartbeats, which are requested here.
    fn release_starts(&mut self, number: u64) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let Some(write) = leader.rounds.writing.remove(&number) else {
            return;
        };
        leader.scheduling.request();
        let mut machines: BTreeSet<MachineId> = BTreeSet::new();
        for group in write.starts() {
            let StartGroup {
                job,
                machine,
                tasks,
            } = group;
            tracing::debug!(%job, %machine, ?tasks, number, "starts are durable");
            machines.insert(machine.clone());
            let Some(job) = self.jobs.get_mut(job) else {
                continue;
            };
            for index in tasks {
                let placement = job.placements.get_mut(index);
                let placement = placement.filter(|placement| placement.attempt == number);
                if let Some(placement) = placement {
                    placement.stage = PlacementStage::Starting {
                        sent: None,
                        resends: 0,
                    };
                    placement.stage_since = now;
                }
            }
        }
        let round = write.into_round();
        tracing::debug!(number, parts = round.parts.len(), "round is durable");
        leader.rounds.open.insert(number, round);
        for machine in machines {
            self.request_heartbeat(&machine);
        }
    }

    /// Abandons a round that is not valid and can't become valid. None of its starts was sent, so
    /// all are withdrawn; the records of its durable parts are removed.
    fn abandon_round(&mut self, number: u64) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let Some(write) = leader.rounds.writing.remove(&number) else {
            return;
        };
        for key in write.durable_keys() {
            leader.completions.add_removal(key.clone());
        }
        for group in write.starts() {
            for index in &group.tasks {
                let task = TaskId {
                    job: group.job.clone(),
                    index: *index,
                };
                self.withdraw_start(&task, number);
            }
        }
    }

    /// Removes the placement of a task whose start was never sent. The task is then pending again.
    fn withdraw_start(&mut self, task: &TaskId, attempt: u64) {
        let placement = self.jobs.placement(task);
        if placement.is_some_and(|placement| placement.attempt == attempt) {
            self.remove_placement(task);
            self.finish_job_if_over(&task.job);
        }
    }
}
