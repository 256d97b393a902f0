//! Sends direct commands to workers in the background.

use super::queue::{CallQueue, WorkerCall};
use crate::constants;
use crate::http::{HttpClient, HttpRequest};
use crate::wire::worker::DirectCommands;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Sends direct commands, [`constants::MAX_WORKER_CALLS`] messages at once. Clones share the queue.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    queue: Arc<Mutex<CallQueue>>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient {
            // Idle connections to hundreds of workers would use up the sockets, and each worker
            // is sent something every few seconds at most.
            http: HttpClient::with_max_idle_connections(0),
            queue: Arc::default(),
        }
    }
}

impl WorkerClient {
    /// Sends the commands in the background, when their turn has come.
    pub fn send(&self, address: SocketAddr, commands: DirectCommands) {
        let call = WorkerCall { address, commands };
        let Some(first) = self.queue().start_or_enqueue(call) else {
            return;
        };
        // Not joined: the task ends when no call waits, each call ends within its timeout, and
        // nobody waits for the outcome.
        tokio::spawn(self.clone().make_calls(first));
    }

    /// Makes a call, then those that wait, one after the other, until none is left.
    async fn make_calls(self, first: WorkerCall) {
        let mut next = Some(first);
        while let Some(call) = next {
            self.call(&call).await;
            next = self.queue().finish_and_take_next();
        }
    }

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

    fn queue(&self) -> MutexGuard<'_, CallQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
