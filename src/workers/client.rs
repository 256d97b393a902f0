//! Sends direct commands to workers in the background.

use super::queue::{CallQueue, WorkerCall};
use crate::constants;
use crate::http::{HttpClient, HttpRequest};
use crate::wire::worker::DirectCommands;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Sends direct commands, with at most [`constants::MAX_WORKER_CALLS`] messages in flight. Clones
/// share the queue.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    queue: Arc<Mutex<CallQueue>>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient {
            // Idle connections to hundreds of workers would exhaust the sockets, and each worker
            // receives a message at most every few seconds.
            http: HttpClient::with_max_idle_connections(0),
            queue: Arc::default(),
        }
    }
}

impl WorkerClient {
    /// Sends the commands in the background, immediately or when a queued call can be made. The
    /// commands are dropped if the queue is full.
    ///
    /// # Panics
    ///
    /// Panics if it spawns a task outside a Tokio runtime.
    pub fn send(&self, address: SocketAddr, commands: DirectCommands) {
        let call = WorkerCall { address, commands };
        let Some(first) = self.queue().start_or_enqueue(call) else {
            return;
        };
        // The spawned task is not joined. It ends when no call is queued, each call ends within its
        // timeout, and no caller needs the outcome.
        tokio::spawn(self.clone().make_calls(first));
    }

    /// Makes a call and then queued calls, one at a time, until the queue is empty.
    async fn make_calls(self, first: WorkerCall) {
        let mut next = Some(first);
        while let Some(call) = next {
            self.call(&call).await;
            next = self.queue().finish_and_take_next();
        }
    }

    /// Makes one call. A failure is only logged.
    async fn call(&self, call: &WorkerCall) {
        let address = call.address;
        let request = HttpRequest::post("/commands", &call.commands);
        let response = self.http.send(address, request, constants::WORKER_TIMEOUT);
        match response.await {
            Ok(response) if response.status == 200 => {}
            Ok(response) => {
                tracing::debug!(%address, status = response.status, "direct commands refused");
            }
            Err(error) => tracing::debug!(%address, %error, "direct commands failed"),
        }
    }

    /// Locks the queue.
    fn queue(&self) -> MutexGuard<'_, CallQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
