//! What a new leader reads before it acts: progress of arrays, then open rounds.
//!
//! A start in an open round may be on its machine, may still reach it, or may be over. It counts
//! as placed until the machine, having seen this leader's token, sends a heartbeat without it.

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

/// What is being read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum RecoveryStage {
    /// Nothing yet: the watch has to tell all that was durable when leadership began.
    #[default]
    LiveRecords,
    /// Progress records.
    Progress,
    /// Records of rounds.
    Rounds,
}

/// How far a new leader's recovery has come.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    stage: RecoveryStage,
    /// The last key read in this stage.
    after: Option<String>,
    retry: Retry,
}

impl Recovery {
    /// The call that reads the next page, if it is due. `live_known`: the live records are known up
    /// to the revision at which leadership began.
    fn next_call(&mut self, live_known: bool, now: Timestamp) -> Option<StoreCall> {
        if self.stage == RecoveryStage::LiveRecords && live_known {
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

    /// The read failed; it is repeated after a pause.
    fn on_read_failed(&mut self, context: &mut Context) {
        self.retry.failed(context);
    }

    /// A page was read that ends with that key if more follow. Returns the stage that it belongs to.
    fn on_page_read(&mut self, next: Option<String>, now: Timestamp) -> PageRead {
        self.retry.succeeded(now);
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

/// A page of records that was read.
struct PageRead {
    stage: RecoveryStage,
    /// Whether nothing is left to read after it.
    is_last: bool,
}

impl Engine {
    /// Reads the next page. First all jobs must be known that an earlier leader may have placed: a
    /// round that names an unknown job is not counted, and what the job has running would be
    /// started again. (A watch may lag by seconds when the state service is slow.) A read that
    /// fails is repeated: in an outage nobody else fares better, and the workers keep their work
    /// meanwhile; a leader that alone is refused loses its lease.
    pub(super) fn recover_when_due(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let live_known = self.live.knows_revision(leader.version());
        let Some(recovery) = &mut leader.recovery else {
            return;
        };
        if let Some(call) = recovery.next_call(live_known, now) {
            self.outbox.call_store(PendingCall::ReadRecoveryPage, call);
        }
    }

    /// A page of records was read, or could not be.
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

    /// All is read: machines get the tasks that are placed on them.
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

    /// Applies a progress record; `None` if it can't be read.
    fn recover_progress(&mut self, key: &str, record: &ProgressRecord, version: u64) -> Option<()> {
        let (id, first_task) = records::parse_progress_key(key)?;
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over; the leader that ended it did not get to this.
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

    /// Applies a round's record, or a part of it; `None` if it can't be read.
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

    /// The highest attempt of a task is the one that may be on a machine: before a later round was
    /// written, the earlier attempt was surely gone.
    fn recover_start(&mut self, id: &JobId, machine: &MachineId, index: u32, attempt: u64) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let known = job.placements.get(&index);
        let is_older = known.is_some_and(|placement| placement.attempt > attempt);
        if is_older || index >= job.spec.tasks || job.completed.contains(index) {
            return;
        }
        let placement = Placement {
            machine: machine.clone(),
            attempt,
            // An earlier leader may have sent the start: this one never sends it again.
            stage: PlacementStage::Starting {
                sent: Some(HeartbeatSequence::default()),
                resends: u32::MAX,
            },
            stage_since: now,
            stop_request: None,
        };
        job.place(index, placement);
        if !job.is_open() {
            job.stop_all_tasks(0, now);
        }
    }
}

#[cfg(test)]
mod tests;
