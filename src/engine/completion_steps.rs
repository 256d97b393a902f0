//! Sends the transactions that write completions, and applies their outcome to the engine's state.

use super::Engine;
use super::completions::{CompletionBatch, CompletionSources, WrittenProgress};
use super::leadership::StepDownReason;
use super::messages::PendingCall;
use super::records::{self, LEADER_KEY, PROGRESS_PREFIX};
use crate::model::{JobId, JobPhase};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::user::JobState;

impl Engine {
    /// Sends the next transaction of completions, if one is due.
    pub(super) fn write_completions_when_due(&mut self) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let sources = CompletionSources {
            jobs: &self.jobs,
            dependencies: &self.dependencies,
            context: &self.context,
            leader_version: leader.version(),
        };
        if let Some((transaction, batch)) = leader.completions.next_transaction(sources) {
            let pending = PendingCall::WriteCompletions(batch);
            self.outbox
                .call_store(pending, StoreCall::Commit(transaction));
        }
    }

    /// Handles the outcome of a transaction of completions.
    pub(super) fn on_completions_written(
        &mut self,
        batch: CompletionBatch,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Committed { revision }) => {
                return self.on_completions_durable(batch, revision);
            }
            Err(StoreError::Conflict(failed)) if failed.iter().any(|key| key == LEADER_KEY) => {
                return self.step_down(StepDownReason::CommitConflict);
            }
            Err(StoreError::Malformed(error)) => {
                tracing::error!(%error, "completions rejected");
            }
            // If a progress record has changed, an earlier write of it that got no response was
            // applied after all.
            Err(StoreError::Conflict(failed)) => self.read_progress_records(failed),
            _ => {}
        }
        if let Some(leader) = self.leadership.leader_mut() {
            leader.completions.on_failed(batch, &mut self.context);
        }
    }

    /// Reads the progress records among these keys again, since their known versions are outdated.
    fn read_progress_records(&mut self, keys: Vec<String>) {
        for key in keys {
            if key.starts_with(PROGRESS_PREFIX) {
                let pending = PendingCall::ReadProgressRecord { key: key.clone() };
                self.outbox.call_store(pending, StoreCall::Get { key });
            }
        }
    }

    fn on_completions_durable(&mut self, batch: CompletionBatch, revision: u64) {
        if let Some(leader) = self.leadership.leader_mut() {
            leader.completions.on_committed(self.context.now());
        }
        for id in batch.unblocked {
            self.on_unblocked_job_written(&id, revision);
        }
        for progress in batch.progress {
            self.on_progress_durable(progress, revision);
        }
        for finished in batch.finished {
            self.on_job_end_durable(&finished.job);
            if let Some(leader) = self.leadership.leader_mut() {
                for key in finished.progress_keys {
                    leader.completions.add_removal(key);
                }
            }
        }
    }

    fn on_progress_durable(&mut self, progress: WrittenProgress, revision: u64) {
        let Some(job) = self.jobs.get_mut(&progress.job) else {
            return;
        };
        let keys = progress.keys.into_iter();
        job.progress_records.extend(keys.map(|key| (key, revision)));
        for index in progress.tasks {
            job.durable_completions.insert(index);
        }
    }

    /// Handles the result of reading a progress record, and stores the record's version.
    pub(super) fn on_progress_record_read(
        &mut self,
        key: &str,
        result: Result<StoreReply, StoreError>,
    ) {
        let job = records::parse_progress_key(key).and_then(|(id, _)| self.jobs.get_mut(&id));
        // If the read failed, the next write of the record conflicts too and the record is read
        // again.
        if let (Ok(StoreReply::Item(item)), Some(job)) = (result, job) {
            let version = item.map_or(0, |item| item.version);
            job.progress_records.insert(key.to_owned(), version);
        }
    }

    /// Applies the durable end of a job, and removes the job if no task of it is left on a machine.
    fn on_job_end_durable(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let state = match &mut job.phase {
            JobPhase::Done { recorded } => {
                *recorded = true;
                JobState::Done
            }
            JobPhase::Cancelled => JobState::Cancelled,
            // The job was removed and admitted again since the write, so the state that was written
            // is no longer known here. The job's final record holds it.
            JobPhase::Open => return,
        };
        self.dependencies.record_final_state(id, state);
        tracing::debug!(job = %id, ?state, "job is over");
        if job.placements.is_empty() {
            self.jobs.remove(id);
        }
    }
}
