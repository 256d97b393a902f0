//! How a job stands in the state service: fresh reads, with final states answered from memory.

use super::Api;
use super::final_states::FinalState;
use crate::engine::{self, FinalRecord, JobRecord};
use crate::store::{CallPriority, MalformedCause, Record, StoreCall, StoreError, StoreReply};

/// A job as the state service has it.
pub(super) enum StoredJob {
    /// No record: it was never accepted.
    Unknown,
    /// Accepted and not over.
    Active {
        /// The live record.
        record: Box<JobRecord>,
        /// Version of the live record's key.
        version: u64,
    },
    /// Accepted and not over, but its record can't be read.
    Unreadable {
        /// Version of the live record's key.
        version: u64,
    },
    /// Over.
    Final(FinalState),
}

impl Api {
    /// A call to the state service on behalf of a user.
    pub(super) async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(&call, CallPriority::User).await
    }

    /// What is known of a job, by a fresh read unless its final state is known here. The live record
    /// is read first: a job moves from there to the final records in one transaction, so that one
    /// that is missing in both reads was not accepted before the first.
    pub(super) async fn look_up(&self, id: &str) -> Result<StoredJob, StoreError> {
        if let Some(final_state) = self.final_states.get(id) {
            return Ok(StoredJob::Final(final_state));
        }
        match self.store.get_record(engine::job_key(id)).await? {
            Some(Record::Read { record, version }) => Ok(self.read_live(id, record, version)),
            Some(Record::Unreadable { version }) => {
                tracing::error!(job = id, "job record can't be read");
                Ok(StoredJob::Unreadable { version })
            }
            None => self.look_up_final(id).await,
        }
    }

    fn read_live(&self, id: &str, record: JobRecord, version: u64) -> StoredJob {
        if record.cancelled {
            let final_state = FinalState::cancelled(record.job.tasks);
            self.final_states.insert(id, final_state);
            return StoredJob::Final(final_state);
        }
        StoredJob::Active {
            record: Box::new(record),
            version,
        }
    }

    /// What the final record says, if there is one.
    async fn look_up_final(&self, id: &str) -> Result<StoredJob, StoreError> {
        let key = engine::final_key(id);
        match self.store.get_record::<FinalRecord>(key).await? {
            None => Ok(StoredJob::Unknown),
            Some(Record::Unreadable { .. }) => {
                let job = id.to_owned();
                Err(MalformedCause::UnreadableFinalRecord { job }.into())
            }
            Some(Record::Read { record, .. }) => {
                let final_state = FinalState::from(record);
                self.final_states.insert(id, final_state);
                Ok(StoredJob::Final(final_state))
            }
        }
    }

    /// Whether a job was ever accepted, for jobs that the engine does not know. Most of those are
    /// over, so their final record is looked for first, and again after the live one, from which a
    /// job may have moved meanwhile.
    pub(super) async fn was_accepted(&self, id: &str) -> Result<bool, StoreError> {
        if self.final_states.get(id).is_some() || self.has_final_record(id).await? {
            return Ok(true);
        }
        Ok(!matches!(self.look_up(id).await?, StoredJob::Unknown))
    }

    /// Whether there is a final record, readable or not.
    async fn has_final_record(&self, id: &str) -> Result<bool, StoreError> {
        let record = self.store.get_record::<FinalRecord>(engine::final_key(id));
        Ok(record.await?.is_some())
    }
}
