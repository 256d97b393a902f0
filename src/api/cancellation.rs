//! Cancels jobs: writes the cancellation to the state service, then announces it to all engines.

use super::Api;
use super::final_states::FinalState;
use super::lookup::StoredJob;
use super::responses::{HttpResponse, service_unavailable};
use crate::constants;
use crate::engine::{self, Command, FinalRecord, JobRecord};
use crate::peer::Message;
use crate::store::{StoreCall, StoreError};
use crate::wire::store::Transaction;

impl Api {
    /// Cancels a job and responds with its status. A job that has ended stays unchanged.
    ///
    /// # Errors
    ///
    /// Returns the error of a call to the state service that failed.
    pub(super) async fn cancel(&self, id: &str) -> Result<HttpResponse, StoreError> {
        for _ in 0..constants::MAX_CANCELLATION_ATTEMPTS {
            let (record, version) = match self.look_up_job(id).await? {
                StoredJob::Active { record, version } => (Some(record), version),
                StoredJob::Unreadable { version } => (None, version),
                job @ (StoredJob::Unknown | StoredJob::Final(_)) => {
                    return self.respond_with_status(id, &job).await;
                }
            };
            let tasks = record.as_ref().map_or(0, |record| record.job.tasks);
            let final_state = FinalState::cancelled(tasks);
            let transaction = cancellation_transaction(id, record, version, final_state);
            match self.call_store(StoreCall::Commit(transaction)).await {
                Ok(_) => {
                    self.final_states.insert(id, final_state);
                    self.announce_cancellation(id);
                    let job = StoredJob::Final(final_state);
                    return self.respond_to_accepted(id, &job).await;
                }
                Err(StoreError::Conflict(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(service_unavailable("changing"))
    }

    /// Announces a durable cancellation to all engines, so that a leader that can't reach the state
    /// service stops the job's tasks at once. The announcement is best effort: it is skipped if too
    /// many others are in progress.
    fn announce_cancellation(&self, id: &str) {
        let Ok(permit) = self
            .cancellation_announcement_permits
            .clone()
            .try_acquire_owned()
        else {
            return;
        };
        let (commands, peers) = (self.commands.clone(), self.peers.clone());
        let job = id.to_owned();
        // No code waits for this task to end. Each of its exchanges has a timeout, and the permits
        // limit the number of such tasks.
        tokio::spawn(async move {
            commands.send(Command::JobCancelled((&*job).into())).await;
            let message = Message::Cancelled { job };
            for peer in peers.iter() {
                if let Err(error) = peer.exchange(&message).await {
                    tracing::debug!(peer = peer.node, %error, "cancellation not announced to peer");
                }
            }
            drop(permit);
        });
    }
}

/// Returns the transaction that cancels a job if its live record still has this version. `record`
/// is `None` if the live record can't be decoded.
fn cancellation_transaction(
    id: &str,
    record: Option<Box<JobRecord>>,
    version: u64,
    final_state: FinalState,
) -> Transaction {
    let key = engine::job_key(id);
    let transaction = Transaction::default().compare(&key, version);
    let transaction = match record {
        Some(record) => transaction.put(key, engine::job_value(&record.cancelled())),
        // No task of a job with an unreadable record is ever started, so there are no tasks for the
        // leader to stop, and the live record can be deleted.
        None => transaction.delete(key),
    };
    let final_record = FinalRecord::from(final_state);
    transaction.put(engine::final_key(id), engine::final_value(&final_record))
}
