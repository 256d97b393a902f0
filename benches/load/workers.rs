//! Simulated workers, written from the protocol. Each worker sends heartbeats to one node on a
//! separate connection.

use crate::fleet::Fleet;
use crate::machine::Machine;
use axum::Router;
use axum::body::Bytes;
use axum::http::StatusCode;
use axum::routing::post;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};
use umbervale::http::{HttpClient, HttpResponse};
use umbervale::wire::worker::{DirectCommands, Heartbeat, HeartbeatResponse, LeaderRedirect};
use umbervale::wire::{decode, encode};

/// Minimum time between two heartbeats of a worker.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a worker waits for a response. It is longer than the protocol's 4 s, since a node
/// under callgrind takes about fifty times as long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of offsets within the heartbeat interval over which the heartbeats of a fleet are spread.
const HEARTBEAT_OFFSETS: u64 = 97;

impl Fleet {
    /// Listens for direct commands to a machine on an unused port.
    async fn listen(self: &Arc<Self>, name: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fleet, name) = (self.clone(), name.to_owned());
        let execute = move |body: Bytes| {
            if let Ok(direct) = decode::<DirectCommands>(&body) {
                fleet.accept_direct_commands(&name, &direct);
            }
            std::future::ready(StatusCode::OK)
        };
        let router = Router::new().route("/commands", post(execute));
        // The server runs until the program ends; a returned machine receives no more commands.
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Executes commands that were sent directly to a machine.
    fn accept_direct_commands(&self, name: &str, direct: &DirectCommands) {
        if let Some(machine) = self.machines().get_mut(name) {
            machine.accept_direct_commands(direct);
        }
        self.direct_commands_received.notify_waiters();
    }

    /// Reports whether direct commands with a higher fencing token have arrived since the last
    /// call.
    fn take_heartbeat_request(&self, name: &str) -> bool {
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        machine.is_some_and(Machine::take_heartbeat_request)
    }

    /// Runs a worker until its machine is returned.
    pub(crate) async fn run_worker(self: Arc<Self>, name: String, number: u64) {
        let http = HttpClient::with_max_idle_connections(1);
        let Ok(address) = self.listen(&name).await else {
            return;
        };
        let mut node = number as usize % self.nodes.len();
        // Spreads the heartbeats of machines that were rented together, evenly and without
        // randomness.
        let offset = self
            .heartbeat_interval
            .mul_f64((number % HEARTBEAT_OFFSETS) as f64 / HEARTBEAT_OFFSETS as f64);
        let mut last_tasks = 0;
        tokio::time::sleep(offset).await;
        loop {
            let sent_at = Instant::now();
            let Some(heartbeat) = self.next_heartbeat(&name, address) else {
                return;
            };
            let body = Some(encode(&heartbeat));
            let front = self.nodes[node].front;
            let response = http
                .call(
                    hyper::Method::POST,
                    front,
                    "/v1/report",
                    body,
                    REPLY_TIMEOUT,
                )
                .await;
            if let Ok(response) = &response
                && response.status == 200
            {
                self.heartbeats.fetch_add(1, Ordering::Relaxed);
                let has_commands = self.accept_response(&name, response);
                last_tasks = self.pause(&name, sent_at, has_commands, last_tasks).await;
                continue;
            }
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            node = self.next_node(node, response.ok().as_ref());
        }
    }

    /// Returns the worker's next heartbeat, or `None` if its machine was returned.
    fn next_heartbeat(&self, name: &str, address: SocketAddr) -> Option<Heartbeat> {
        let mut machines = self.machines();
        let machine = machines.get_mut(name)?;
        machine.advance_tasks();
        Some(machine.heartbeat(name, address))
    }

    /// Executes the commands of a response. Returns whether there were any.
    fn accept_response(&self, name: &str, response: &HttpResponse) -> bool {
        let Ok(heartbeat_response) = decode::<HeartbeatResponse>(&response.body) else {
            return false;
        };
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        machine.is_some_and(|machine| machine.accept_response(&heartbeat_response))
    }

    /// Returns the index of the node that a redirect names, or else of the next node.
    fn next_node(&self, node: usize, response: Option<&HttpResponse>) -> usize {
        let redirect = response.and_then(|response| decode::<LeaderRedirect>(&response.body).ok());
        let leader = redirect.and_then(|redirect| redirect.leader);
        let leader_index = self
            .nodes
            .iter()
            .position(|node| Some(&node.name) == leader.as_ref());
        leader_index.unwrap_or((node + 1) % self.nodes.len())
    }

    /// Waits until the next heartbeat is due: the minimum interval after commands or a change in
    /// the number of tasks, and the usual interval otherwise. Returns the current number of tasks.
    async fn pause(
        &self,
        name: &str,
        sent_at: Instant,
        has_commands: bool,
        last_tasks: usize,
    ) -> usize {
        let tasks = {
            let mut machines = self.machines();
            let Some(machine) = machines.get_mut(name) else {
                return 0;
            };
            machine.task_count()
        };
        let due_at = match has_commands || tasks != last_tasks {
            true => sent_at + MIN_HEARTBEAT_INTERVAL,
            false => sent_at + self.heartbeat_interval,
        };
        while Instant::now() < due_at {
            let notified = self.direct_commands_received.notified();
            if self.take_heartbeat_request(name) {
                sleep_until(sent_at + MIN_HEARTBEAT_INTERVAL).await;
                break;
            }
            let _ = tokio::time::timeout_at(due_at, notified).await;
        }
        tasks
    }
}
