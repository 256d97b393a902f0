//! How a job stands: fresh reads of the state service, with final states answered from memory.

use super::Api;
use crate::engine::{self, Command, FinalRecord, JobRecord, Reply};
use crate::model::JobId;
use crate::peer::Message;
use crate::store::{CallPriority, Record, StoreCall, StoreError, StoreReply};
use crate::wire::user::{JobState, JobStatus};

/// A job as the state service has it.
pub(super) enum StoredJob {
    /// No record: it was never accepted.
    Never,
    /// Accepted and not over.
    Open {
        record: Box<JobRecord>,
        version: u64,
    },
    /// Accepted and not over, but its record can't be read.
    Unreadable { version: u64 },
    /// Over, with the number of its tasks.
    Final(JobState, u64),
}

impl Api {
    /// A call to the state service on behalf of a user.
    pub(super) async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(&call, CallPriority::User).await
    }

    /// What is known of a job, by a fresh read. The live record is read first: a job moves from
    /// there to the final ones in one transaction, so whoever misses it in both reads never
    /// was accepted before the first.
    pub(super) async fn look_up(&self, id: &str) -> Result<StoredJob, StoreError> {
        if let Some((state, tasks)) = self.remembered(id) {
            return Ok(StoredJob::Final(state, tasks));
        }
        match self.store.get_record(engine::job_key(id)).await? {
            Some(Record::Read { record, version }) => Ok(self.read_live(id, record, version)),
            Some(Record::Unreadable { version }) => {
                // It was accepted, and is not over: all that its user can be told.
                tracing::error!("record of {id} can't be read");
                Ok(StoredJob::Unreadable { version })
            }
            None => self.look_up_final(id).await,
        }
    }

    fn read_live(&self, id: &str, record: JobRecord, version: u64) -> StoredJob {
        if record.cancelled {
            self.remember(id, JobState::Cancelled, record.job.tasks);
            return StoredJob::Final(JobState::Cancelled, record.job.tasks);
        }
        StoredJob::Open {
            record: Box::new(record),
            version,
        }
    }

    /// What the final record says, if there is one.
    async fn look_up_final(&self, id: &str) -> Result<StoredJob, StoreError> {
        match self.store.get_record(engine::final_key(id)).await? {
            None => Ok(StoredJob::Never),
            Some(Record::Unreadable { .. }) => Err(StoreError::Malformed(format!(
                "final record of {id} can't be read"
            ))),
            Some(Record::Read {
                record: FinalRecord { state, tasks },
                ..
            }) => {
                self.remember(id, state, tasks);
                Ok(StoredJob::Final(state, tasks))
            }
        }
    }

    /// Whether there is a final record, readable or not.
    pub(super) async fn has_final_record(&self, id: &str) -> Result<bool, StoreError> {
        let record = self.store.get_record::<FinalRecord>(engine::final_key(id));
        Ok(record.await?.is_some())
    }

    /// The final state and the number of tasks of a job that is known here to be over.
    pub(super) fn remembered(&self, id: &str) -> Option<(JobState, u64)> {
        let finals = self.finals.lock().unwrap_or_else(|e| e.into_inner());
        finals.get(id).copied()
    }

    /// Keeps a final state, so that it needs no further read.
    pub(super) fn remember(&self, id: &str, state: JobState, tasks: u64) {
        let mut finals = self.finals.lock().unwrap_or_else(|e| e.into_inner());
        finals.insert(id.to_owned(), (state, tasks));
    }

    /// What a user is told of the job; `None` if it was never accepted.
    pub(super) async fn status(
        &self,
        id: &str,
        known: &StoredJob,
    ) -> Result<Option<JobStatus>, StoreError> {
        let (state, done, running) = match known {
            StoredJob::Never => return Ok(None),
            StoredJob::Final(state @ JobState::Done, tasks) => (*state, *tasks, 0),
            StoredJob::Final(state, _) => (*state, 0, 0),
            StoredJob::Unreadable { .. } => (JobState::Queued, 0, 0),
            StoredJob::Open { record, .. } if record.waits() => {
                (self.waiting_state(id, record.job.tasks).await?, 0, 0)
            }
            StoredJob::Open { .. } => {
                let (done, running) = self.counts(id).await;
                let state = if running > 0 {
                    JobState::Running
                } else {
                    JobState::Queued
                };
                (state, done, running)
            }
        };
        Ok(Some(JobStatus {
            id: id.into(),
            state,
            completed_tasks: Some(done),
            running_tasks: Some(running),
        }))
    }

    /// The state of a job whose record says that it waits for others: cancelled if one of them is,
    /// by changes read after the question came.
    async fn waiting_state(&self, id: &str, tasks: u64) -> Result<JobState, StoreError> {
        let ask = |reply| Command::QueryBlockedJob {
            job: id.into(),
            reply,
        };
        match self.commands.ask(ask).await {
            Some(Reply::BlockedJobState(Some(state))) => {
                if state == JobState::Cancelled {
                    self.remember(id, state, tasks);
                }
                Ok(state)
            }
            // Since its record was read it has begun, or is over.
            Some(Reply::BlockedJobState(None)) => match self.look_up(id).await? {
                StoredJob::Open { record, .. } if !record.waits() => Ok(JobState::Queued),
                StoredJob::Final(state, _) => Ok(state),
                _ => Err(StoreError::NotExecuted("changing".into())),
            },
            _ => Err(StoreError::NotExecuted("changes can't be read".into())),
        }
    }

    /// Finished and running tasks, for display: from this node if it leads, else from the
    /// leader, else nothing.
    async fn counts(&self, id: &str) -> (u64, u64) {
        let view = self.view.borrow().clone();
        if view.leading {
            let count = |reply| Command::CountTasks {
                job: JobId::from(id),
                reply,
            };
            if let Some(Reply::TaskCounts { completed, running }) = self.commands.ask(count).await {
                return (completed, running);
            }
        }
        let link = self
            .peers
            .iter()
            .find(|p| Some(&p.node) == view.leader.as_ref());
        if let Some(link) = link
            && let Ok(Message::Counts { done, running }) =
                link.exchange(&Message::Count { job: id.into() }).await
        {
            return (done, running);
        }
        (0, 0)
    }
}
