//! Recovery: the records that a new leader reads before it acts. These are the progress records of
//! arrays, followed by the records of open rounds.
//!
//! A task start in an open round may run on its machine, may still arrive there, or may have
//! ended. The task counts as placed until the machine has seen this leader's fencing token and
//! sends a heartbeat that does not list the task.

use super::Engine;
use super::context::Context;
use super::messages::PendingCall;
use super::records::{self, PROGRESS_PREFIX, ProgressRecord, ROUND_PREFIX, RoundRecord};
use super::retry::Retry;
use super::rounds::{RoundPart, StartGroup};
use crate::model::{
    HeartbeatSequence, JobId, Machine, MachineId, Placement, PlacementStage, TaskId, Timestamp,
};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Item;

/// The kind of records that recovery reads next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum RecoveryStage {
    /// Waits until the watch has delivered all live records that were durable when leadership
    /// began.
    #[default]
    LiveRecords,
    /// Reads the progress records.
    Progress,
    /// Reads the records of rounds.
    Rounds,
}

/// The progress of a new leader's recovery.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    stage: RecoveryStage,
    /// The last key read in this stage.
    after: Option<String>,
    retry: Retry,
}

impl Recovery {
    /// Returns the call that reads the next page, if one is due, and marks the call as in flight.
    /// `live_records_applied` says whether the live records have been applied up to the revision
    /// at which leadership began.
    fn next_call(&mut self, live_records_applied: bool, now: Timestamp) -> Option<StoreCall> {
        if self.stage == RecoveryStage::LiveRecords && live_records_applied {
            self.stage = RecoveryStage::Progress;
        }
        let prefix = match self.stage {
            RecoveryStage::LiveRecords => return None,
            RecoveryStage::Progress => PROGRESS_PREFIX,
            RecoveryStage::Rounds => ROUND_PREFIX,
        };
        if !self.retry.is_due(now) {
            return None;
        }
        self.retry.begin();
        Some(StoreCall::List {
            prefix: prefix.into(),
            after: self.after.clone(),
        })
    }

    /// Records that a read failed. The read is retried after a pause.
    fn on_read_failed(&mut self, context: &mut Context) {
        self.retry.record_failure(context);
    }

    /// Records that a page was read and advances to the next page or stage. `next` is the page's
    /// last key if more pages follow. Returns the stage of the page and whether the page is the
    /// last one of the recovery.
    fn on_page_read(&mut self, next: Option<String>, now: Timestamp) -> PageRead {
        self.retry.record_success(now);
        let stage = self.stage;
        let more_pages = next.is_some();
        self.after = next;
        if !more_pages && stage != RecoveryStage::Rounds {
            self.stage = RecoveryStage::Rounds;
        }
        PageRead {
            stage,
            is_last: !more_pages && stage == RecoveryStage::Rounds,
        }
    }
}

/// The position of a page of records that was read.
struct PageRead {
    stage: RecoveryStage,
    /// Whether this is the last page of the recovery.
    is_last: bool,
}

impl Engine {
    /// Reads the next page if one is due.
    ///
    /// The first read waits until all jobs are known that an earlier leader may have placed. The
    /// starts of an unknown job are not recovered, so its running tasks would be started a second
    /// time. The watch may lag by seconds when the state service is slow.
    ///
    /// A failed read is retried without limit. In an outage of the state service no other node
    /// could recover either, and the workers keep running their tasks; a leader that is the only
    /// one refused by the service loses its lease.
    pub(super) fn recover_when_due(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let live_records_applied = self.live.has_applied_revision(leader.version());
        let Some(recovery) = &mut leader.recovery else {
            return;
        };
        if let Some(call) = recovery.next_call(live_records_applied, now) {
            self.outbox.call_store(PendingCall::ReadRecoveryPage, call);
        }
    }

    /// Handles the outcome of reading a page of records.
    pub(super) fn on_recovery_page(&mut self, result: Result<StoreReply, StoreError>) {
        let now = self.context.now();
        let leader = self.leadership.leader_mut();
        let Some(recovery) = leader.and_then(|leader| leader.recovery.as_mut()) else {
            return;
        };
        let page = match result {
            Ok(StoreReply::Listing(page)) => page,
            other => {
                if let Err(error) = other {
                    tracing::info!(%error, "recovery read failed");
                }
                return recovery.on_read_failed(&mut self.context);
            }
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        let next = last_key.filter(|_| page.has_more);
        let read = recovery.on_page_read(next, now);
        for item in page.items {
            self.recover_record(read.stage, item);
        }
        if read.is_last {
            self.finish_recovery();
        }
    }

    fn recover_record(&mut self, stage: RecoveryStage, item: Item) {
        let Item {
            key,
            value,
            version,
        } = item;
        let recovered = match stage {
            RecoveryStage::Rounds => {
                records::from_value(value).and_then(|record| self.recover_round(&key, record))
            }
            RecoveryStage::LiveRecords | RecoveryStage::Progress => records::from_value(value)
                .and_then(|record| self.recover_progress(&key, &record, version)),
        };
        if recovered.is_none() {
            let consequence = "the record is left alone";
            tracing::error!(key, consequence, "unreadable record");
        }
    }

    /// Ends the recovery after the last page: assigns the placed tasks to their machines and
    /// finishes jobs that are over.
    fn finish_recovery(&mut self) {
        if let Some(leader) = self.leadership.leader_mut() {
            leader.recovery = None;
            for (id, job) in self.jobs.iter() {
                for (index, placement) in &job.placements {
                    if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                        machine.tasks.insert(TaskId {
                            job: id.clone(),
                            index: *index,
                        });
                    }
                }
            }
        }
        let (jobs, placed_tasks) = (self.jobs.len(), self.jobs.placed_tasks());
        tracing::info!(jobs, placed_tasks, "recovery complete");
        self.dependencies.request_evaluation();
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.finish_job_if_over(&id);
        }
    }

    /// Applies a progress record. Returns `None` if the record or its key can't be decoded.
    fn recover_progress(&mut self, key: &str, record: &ProgressRecord, version: u64) -> Option<()> {
        let (id, first_task) = records::parse_progress_key(key)?;
        let Some(job) = self.jobs.get_mut(&id) else {
            // The job is over, but the leader that ended it did not delete this record.
            if let Some(leader) = self.leadership.leader_mut() {
                leader.completions.add_removal(key.to_owned());
            }
            return Some(());
        };
        job.durable_completions
            .insert_encoded_part(first_task, &record.done, job.spec.tasks)?;
        job.progress_records.insert(key.to_owned(), version);
        let completed: Vec<u32> = job.durable_completions.iter().collect();
        for index in completed {
            job.complete_task(index);
        }
        Some(())
    }

    /// Applies the record of a round or of a part of one. Returns `None` if the record's key can't
    /// be parsed.
    fn recover_round(&mut self, key: &str, record: RoundRecord) -> Option<()> {
        let number = records::parse_round_key(key)?;
        let starts: Vec<StartGroup> = record.starts.into_iter().map(StartGroup::from).collect();
        for group in &starts {
            for index in &group.tasks {
                self.recover_start(&group.job, &group.machine, *index, number);
            }
        }
        let now = self.context.now();
        let leader = self.leadership.leader_mut()?;
        for group in &starts {
            leader
                .machines
                .insert_if_absent(&group.machine, |id| Machine::unidentified(id, false, now));
        }
        let part = RoundPart {
            key: key.to_owned(),
            starts,
        };
        leader.rounds.add_open_part(number, part);
        Some(())
    }

    /// Adds the placement of a task start found in a round. Only the highest attempt of a task can
    /// be on a machine: a later round is written only after the earlier attempt is known to have
    /// ended.
    fn recover_start(&mut self, id: &JobId, machine: &MachineId, index: u32, attempt: u64) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let recovered = job.placements.get(&index);
        let is_outdated = recovered.is_some_and(|placement| placement.attempt > attempt);
        if is_outdated || index >= job.spec.tasks || job.completed.contains(index) {
            return;
        }
        // An earlier leader may have sent the start, so this leader never sends it again.
        let stage = PlacementStage::Starting {
            sent: Some(HeartbeatSequence::default()),
            resends: u32::MAX,
        };
        let placement = Placement::new(machine.clone(), attempt, stage, now);
        job.place(index, placement);
        if !job.is_open() {
            job.stop_all_tasks(0, now);
        }
    }
}

#[cfg(test)]
mod tests;
