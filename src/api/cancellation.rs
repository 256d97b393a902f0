//! Cancellations: durable in the state service first, then told to all engines.

use super::Api;
use super::lookup::StoredJob;
use super::responses::{Answer, answer, refuse, unavailable};
use crate::engine::{self, Command, FinalRecord, JobRecord};
use crate::peer::Message;
use crate::store::{StoreCall, StoreError};
use crate::wire::store::Transaction;
use crate::wire::user::JobState;
use axum::http::StatusCode;

/// How often a cancellation is tried when others change the job's record meanwhile.
const ATTEMPTS: usize = 3;

impl Api {
    pub(super) async fn cancel(&self, id: &str) -> Result<Answer, StoreError> {
        // Again if someone changed the record between read and write.
        for _ in 0..ATTEMPTS {
            let (record, version) = match self.look_up(id).await? {
                StoredJob::Open { record, version } => (Some(record), version),
                StoredJob::Unreadable { version } => (None, version),
                stored => {
                    return Ok(match self.status(id, &stored).await? {
                        Some(status) => answer(StatusCode::OK, &status),
                        None => refuse(StatusCode::NOT_FOUND, "no such job"),
                    });
                }
            };
            let tasks = record.as_ref().map_or(0, |r| r.job.tasks);
            let txn = cancellation(id, record, version, tasks);
            match self.call(StoreCall::Commit(txn)).await {
                Ok(_) => {
                    self.remember(id, JobState::Cancelled, tasks);
                    self.announce_cancellation(id);
                    let stored = StoredJob::Final(JobState::Cancelled, tasks);
                    return self.accepted(id, &stored).await;
                }
                Err(StoreError::Conflict(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(unavailable("changing"))
    }

    /// Tells all engines of a durable cancellation, so that a leader whom the state service refuses
    /// stops the job's tasks at once. Nothing rests on it, so past its bound it is left out.
    fn announce_cancellation(&self, id: &str) {
        let Ok(permit) = self.notifications.clone().try_acquire_owned() else {
            return;
        };
        let (commands, peers) = (self.commands.clone(), self.peers.clone());
        let job = id.to_owned();
        tokio::spawn(async move {
            commands.send(Command::JobCancelled((&*job).into())).await;
            let said = Message::Cancelled { job };
            for peer in peers.iter() {
                if let Err(e) = peer.exchange(&said).await {
                    tracing::debug!(peer = peer.node, "peer: {e}");
                }
            }
            drop(permit);
        });
    }
}

/// The transaction that cancels a job whose live record has that version; there is no `record` if
/// it can't be read.
fn cancellation(id: &str, record: Option<Box<JobRecord>>, version: u64, tasks: u64) -> Transaction {
    let live = engine::job_key(id);
    let txn = Transaction::default().compare(&live, version);
    let txn = match record {
        Some(record) => {
            let record = record.cancelled();
            txn.put(live, engine::job_value(&record))
        }
        // Nothing of a job whose record can't be read is ever started.
        None => txn.delete(live),
    };
    let last = FinalRecord {
        state: JobState::Cancelled,
        tasks,
    };
    txn.put(engine::final_key(id), engine::final_value(&last))
}
