//! Orders sent directly to a worker: stops, or nothing but a higher token that makes the worker
//! report at once. Never a start: a late one could run a task twice, a late stop cannot harm.
//!
//! Stops go before the rest. What finds no room in the queue is dropped: stops are also in the
//! answer to the worker's next report.

use crate::constants;
use crate::http::HttpClient;
use crate::wire::encode;
use crate::wire::worker::DirectCommands;
use hyper::Method;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

type Call = (SocketAddr, DirectCommands);

/// Calls that wait, and how many are under way.
#[derive(Debug, Default)]
struct Queue {
    stops: VecDeque<Call>,
    rest: VecDeque<Call>,
    under_way: usize,
}

impl Queue {
    /// Whether the call may begin now; otherwise it waits, if there is room.
    fn begins(&mut self, call: Call) -> Option<Call> {
        if self.under_way < constants::MAX_WORKER_CALLS {
            self.under_way += 1;
            return Some(call);
        }
        let queue = match call.1.commands.is_empty() {
            true => &mut self.rest,
            false => &mut self.stops,
        };
        if queue.len() < constants::MAX_QUEUED_WORKER_CALLS {
            queue.push_back(call);
        } else {
            tracing::debug!(addr = %call.0, "too many orders wait, left to the next report");
        }
        None
    }

    /// The call that takes the place of one that is over.
    fn next(&mut self) -> Option<Call> {
        let next = self.stops.pop_front().or_else(|| self.rest.pop_front());
        self.under_way -= usize::from(next.is_none());
        next
    }
}

#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    queue: Arc<Mutex<Queue>>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient {
            // Kept connections to hundreds of workers would use up the sockets, and each worker is
            // sent something every few seconds at most.
            http: HttpClient::with_max_idle_connections(0),
            queue: Arc::default(),
        }
    }
}

impl WorkerClient {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sends the orders in the background.
    pub fn send(&self, addr: SocketAddr, commands: DirectCommands) {
        let mut next = self.queue().begins((addr, commands));
        if next.is_none() {
            return;
        }
        let client = self.clone();
        tokio::spawn(async move {
            while let Some((addr, commands)) = next {
                client.call(addr, &commands).await;
                next = client.queue().next();
            }
        });
    }

    async fn call(&self, addr: SocketAddr, commands: &DirectCommands) {
        let body = Some(encode(commands));
        let call = self.http.call(
            Method::POST,
            addr,
            "/commands",
            body,
            constants::WORKER_TIMEOUT,
        );
        match call.await {
            Ok(answer) if answer.status == 200 => {}
            Ok(answer) => tracing::debug!(%addr, status = answer.status, "orders refused"),
            Err(e) => tracing::debug!(%addr, "orders: {e}"),
        }
    }
}

#[cfg(test)]
mod tests;
