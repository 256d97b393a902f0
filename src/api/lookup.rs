//! Looks up jobs by fresh reads from the state service, or in the cache of final states.

use super::Api;
use super::final_states::FinalState;
use crate::engine::{self, FinalRecord, JobRecord};
use crate::store::{CallPriority, MalformedCause, Record, StoreCall, StoreError, StoreReply};

/// A job as it is stored in the state service.
pub(super) enum StoredJob {
    /// The job has no record: it was never accepted.
    Unknown,
    /// The job was accepted and has not ended.
    Active {
        /// The live record.
        record: Box<JobRecord>,
        /// Version of the live record's key.
        version: u64,
    },
    /// The job was accepted and has not ended, but its live record can't be decoded.
    Unreadable {
        /// Version of the live record's key.
        version: u64,
    },
    /// The job has ended.
    Final(FinalState),
}

impl Api {
    /// Calls the state service with the priority of users' requests.
    pub(super) async fn call_store(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(&call, CallPriority::User).await
    }

    /// Looks up a job by a fresh read, or in the cache if its final state is cached.
    ///
    /// The live record is read before the final record. A live record is deleted in the transaction
    /// that writes the final record or, after a cancellation, in a later one. A job for which
    /// neither record is found had therefore not been accepted before the first read.
    ///
    /// # Errors
    ///
    /// Returns an error if a read fails or the final record can't be decoded.
    pub(super) async fn look_up_job(&self, id: &str) -> Result<StoredJob, StoreError> {
        if let Some(final_state) = self.final_states.get(id) {
            return Ok(StoredJob::Final(final_state));
        }
        match self.store.get_record(engine::job_key(id)).await? {
            Some(Record::Read { record, version }) => {
                Ok(self.job_from_live_record(id, record, version))
            }
            Some(Record::Unreadable { version }) => {
                tracing::error!(job = id, "job record can't be read");
                Ok(StoredJob::Unreadable { version })
            }
            None => self.look_up_final_record(id).await,
        }
    }

    /// Returns the job of a live record. If the record is cancelled, caches the job's final state.
    fn job_from_live_record(&self, id: &str, record: JobRecord, version: u64) -> StoredJob {
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

    /// Looks up a job by its final record, and caches the final state.
    async fn look_up_final_record(&self, id: &str) -> Result<StoredJob, StoreError> {
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

    /// Reports whether a job that the engine does not know was ever accepted.
    ///
    /// Most of these jobs have ended, so their final record is read first. It is read again after
    /// the live record, because the job may have ended between the two reads.
    ///
    /// # Errors
    ///
    /// Returns an error if a read fails, or if the final record can't be decoded when it is read
    /// again.
    pub(super) async fn was_accepted(&self, id: &str) -> Result<bool, StoreError> {
        if self.final_states.get(id).is_some() || self.has_final_record(id).await? {
            return Ok(true);
        }
        Ok(!matches!(self.look_up_job(id).await?, StoredJob::Unknown))
    }

    /// Reports whether a job has a final record, even one that can't be decoded.
    async fn has_final_record(&self, id: &str) -> Result<bool, StoreError> {
        let record = self.store.get_record::<FinalRecord>(engine::final_key(id));
        Ok(record.await?.is_some())
    }
}
