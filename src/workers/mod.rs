//! Orders sent directly to a worker. They only ever stop tasks: a late start could run a task
//! twice, a late stop cannot harm. They are also in the answer to the worker's next report, so
//! one that fails, or finds too many under way, is simply dropped.

use crate::constants as k;
use crate::http::HttpClient;
use crate::wire::encode;
use crate::wire::worker::DirectOrders;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Semaphore;

#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    slots: Arc<Semaphore>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient {
            // Kept connections to hundreds of workers would use up the sockets, and each worker is
            // sent something every few seconds at most.
            http: HttpClient::keeping(0),
            slots: Arc::new(Semaphore::new(k::WORKER_CALLS)),
        }
    }
}

impl WorkerClient {
    /// Sends the orders in the background.
    pub fn send(&self, addr: SocketAddr, orders: DirectOrders) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            tracing::debug!(%addr, "too many orders under way, left to the next report");
            return;
        };
        let http = self.http.clone();
        tokio::spawn(async move {
            let call = http.call(
                Method::POST,
                addr,
                "/commands",
                Some(encode(&orders)),
                k::WORKER_TIMEOUT,
            );
            match call.await {
                Ok(answer) if answer.status == 200 => {}
                Ok(answer) => tracing::debug!(%addr, status = answer.status, "orders refused"),
                Err(e) => tracing::debug!(%addr, "orders: {e}"),
            }
            drop(slot);
        });
    }
}
