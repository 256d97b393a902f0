//! What a new leader reads before it acts: finished tasks of arrays, then open rounds.
//!
//! A start in an open round may be on its machine, may still reach it, or may be over. It counts
//! as placed until the machine, having seen this leader's token, reports without it.

use super::records::{self, ROUNDS, RoundRecord, WORK, WorkRecord};
use super::rounds::{RoundPart, StartGroup};
use super::{Engine, PendingCall, Retry, Role};
use crate::model::{
    HeartbeatSequence, JobId, Machine, MachineId, Placement, PlacementStage, TaskId,
};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Item;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RecoveryStage {
    /// The watch has yet to tell all that was durable when office was taken.
    #[default]
    LiveRecords,
    Progress,
    Rounds,
}

/// How far a new leader's reading has come.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    stage: RecoveryStage,
    /// The last key read of this part.
    after: Option<String>,
    retry: Retry,
}

impl Engine {
    /// Reads the next page. First all jobs must be known that an earlier leader may have placed: a
    /// round that names an unknown job is not counted, and what the job has running would be started
    /// again. (A watch may lag by seconds when the state service is slow.) A read that fails is
    /// repeated: in an outage nobody else fares better, and the workers keep their work meanwhile; a
    /// leader that alone is refused loses its lease.
    pub(super) fn recover_when_due(&mut self) {
        let (now, known) = (self.now, self.revision);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(recovery) = &mut leader.recovery else {
            return;
        };
        if recovery.stage == RecoveryStage::LiveRecords
            && known.is_some_and(|known| known >= leader.version)
        {
            recovery.stage = RecoveryStage::Progress;
        }
        let prefix = match recovery.stage {
            RecoveryStage::LiveRecords => return,
            RecoveryStage::Progress => WORK,
            RecoveryStage::Rounds => ROUNDS,
        };
        if !recovery.retry.due(now) {
            return;
        }
        recovery.retry.busy = true;
        let call = StoreCall::List {
            prefix: prefix.into(),
            after: recovery.after.clone(),
        };
        self.call_store(PendingCall::ReadRecoveryPage, call);
    }

    /// A page of records was read, or could not be.
    pub(super) fn on_recovery_page(&mut self, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(recovery) = &mut leader.recovery else {
            return;
        };
        let stage = recovery.stage;
        let page = match result {
            Ok(StoreReply::Listing(page)) => page,
            other => {
                if let Err(e) = other {
                    tracing::info!("records could not be read: {e}");
                }
                return recovery.retry.failed(now, &mut self.rng);
            }
        };
        recovery.retry.worked(now);
        let last = page.items.last().map(|item| item.key.clone());
        let next = last.filter(|_| page.has_more);
        for item in page.items {
            self.recover_record(stage, item);
        }
        if !self.has_more_to_recover(stage, next) {
            self.finish_recovery();
        }
    }

    /// Takes in one record of that part.
    fn recover_record(&mut self, stage: RecoveryStage, item: Item) {
        let read = match stage {
            RecoveryStage::Rounds => {
                records::read(item.value).and_then(|record| self.recover_round(&item.key, record))
            }
            RecoveryStage::LiveRecords | RecoveryStage::Progress => records::read(item.value)
                .and_then(|record| self.recover_progress(&item.key, record, item.version)),
        };
        if read.is_none() {
            tracing::error!(key = item.key, "record can't be read, left alone");
        }
    }

    /// Goes on to the next page, which follows that key, or to the next part; whether there is one.
    fn has_more_to_recover(&mut self, stage: RecoveryStage, next: Option<String>) -> bool {
        let Some(recovery) = self.leader_mut().and_then(|l| l.recovery.as_mut()) else {
            return false;
        };
        let goes_on = next.is_some();
        recovery.after = next;
        if !goes_on && stage != RecoveryStage::Rounds {
            recovery.stage = RecoveryStage::Rounds;
            return true;
        }
        goes_on
    }

    /// All is read: machines get the tasks that are placed on them.
    fn finish_recovery(&mut self) {
        if let Role::Leader(leader) = &mut self.role {
            leader.recovery = None;
            for (id, job) in &self.jobs {
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
        let placed: usize = self.jobs.values().map(|j| j.placements.len()).sum();
        tracing::info!(jobs = self.jobs.len(), placed, "records read");
        self.dependencies.mark_changed();
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.finish_job_if_over(&id);
        }
    }

    fn recover_progress(&mut self, key: &str, record: WorkRecord, version: u64) -> Option<()> {
        let (id, first) = records::work_of_key(key)?;
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over; the leader that ended it did not get to this.
            if let Some(leader) = self.leader_mut() {
                leader.completions.remove(key.to_owned());
            }
            return Some(());
        };
        job.durable_completions
            .add_text(first, &record.done, job.spec.tasks)?;
        job.progress_records.insert(key.to_owned(), version);
        let done: Vec<u32> = job.durable_completions.iter().collect();
        for index in done {
            job.complete(index);
        }
        Some(())
    }

    fn recover_round(&mut self, key: &str, record: RoundRecord) -> Option<()> {
        let number = records::round_of_key(key)?;
        let now = self.now;
        let mut starts = Vec::new();
        for (job, machine, tasks) in record.starts {
            let group = StartGroup {
                job: JobId::from(&*job),
                machine: MachineId::from(&*machine),
                tasks,
            };
            for index in &group.tasks {
                self.recover_start(&group.job, &group.machine, *index, number);
            }
            starts.push(group);
        }
        let leader = self.leader_mut()?;
        for group in &starts {
            leader.machines.insert_if_absent(&group.machine, |id| {
                // Type and zone follow with its first report.
                Machine::new(id, "".into(), "".into(), false, now)
            });
        }
        let round = leader.rounds.open.entry(number).or_default();
        round.parts.push(RoundPart {
            key: key.to_owned(),
            starts,
        });
        Some(())
    }

    /// The highest attempt of a task is the one that may be live: before a later round was
    /// written, the earlier attempt was surely gone.
    fn recover_start(&mut self, id: &JobId, machine: &MachineId, index: u32, attempt: u64) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let older = job
            .placements
            .get(&index)
            .is_some_and(|p| p.attempt > attempt);
        if older || index >= job.spec.tasks || job.completed.contains(index) {
            return;
        }
        job.pending.remove(index);
        let placement = Placement {
            machine: machine.clone(),
            attempt,
            stage: PlacementStage::Starting {
                sent: Some(HeartbeatSequence::default()),
                resends: u32::MAX,
            },
            stage_since: now,
            stop_request: None,
        };
        job.placements.insert(index, placement);
        if !job.is_open() {
            job.stop_all_tasks(0, now);
        }
    }
}
