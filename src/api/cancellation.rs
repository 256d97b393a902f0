//! Cancellations: durable in the state service first, then announced to all engines.

use super::Api;
use super::final_states::FinalState;
use super::lookup::StoredJob;
use super::responses::{HttpResponse, unavailable};
use crate::constants;
use crate::engine::{self, Command, FinalRecord, JobRecord};
use crate::peer::Message;
use crate::store::{StoreCall, StoreError};
use crate::wire::store::Transaction;

impl Api {
    /// Cancels a job, and responds with its state; a job that is over stays as it is.
    pub(super) async fn cancel(&self, id: &str) -> Result<HttpResponse, StoreError> {
        for _ in 0..constants::MAX_CANCELLATION_ATTEMPTS {
            let (record, version) = match self.look_up(id).await? {
                StoredJob::Active { record, version } => (Some(record), version),
                StoredJob::Unreadable { version } => (None, version),
                job @ (StoredJob::Unknown | StoredJob::Final(_)) => {
                    return self.respond_with_status(id, &job).await;
                }
            };
            let tasks = record.as_ref().map_or(0, |record| record.job.tasks);
            let final_state = FinalState::cancelled(tasks);
            let transaction = cancellation(id, record, version, final_state);
            match self.call(StoreCall::Commit(transaction)).await {
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
        Ok(unavailable("changing"))
    }

    /// Announces a durable cancellation to all engines, so that a leader that can't reach the state
    /// service stops the job's tasks at once. Nothing depends on it, so it is left out if too many
    /// announcements are in progress.
    fn announce_cancellation(&self, id: &str) {
        let Ok(permit) = self.cancellation_announcements.clone().try_acquire_owned() else {
            return;
        };
        let (commands, peers) = (self.commands.clone(), self.peers.clone());
        let job = id.to_owned();
        // Nothing waits for the task: each of its exchanges has a timeout, and the permits bound
        // how many such tasks there are.
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

/// The transaction that cancels a job whose live record has that version; `record` is `None` if it
/// can't be read.
fn cancellation(
    id: &str,
    record: Option<Box<JobRecord>>,
    version: u64,
    final_state: FinalState,
) -> Transaction {
    let key = engine::job_key(id);
    let transaction = Transaction::default().compare(&key, version);
    let transaction = match record {
        Some(record) => transaction.put(key, engine::job_value(&record.cancelled())),
        // No task of a job whose record can't be read is ever started, so there is none to stop.
        None => transaction.delete(key),
    };
    let final_record = FinalRecord::from(final_state);
    transaction.put(engine::final_key(id), engine::final_value(&final_record))
}
