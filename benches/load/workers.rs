//! Workers, written from the protocol: each sends heartbeats to one node on a connection of its own.

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

/// Least time between two heartbeats of a worker.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a worker waits for a reply: longer than the protocol's 4 s, since a node under callgrind
/// takes some fifty times as long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Over how many phases of the interval the heartbeats of a fleet are spread.
const HEARTBEAT_PHASES: u64 = 97;

impl Fleet {
    /// Listens for direct commands to a machine, on a port of its own.
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
        // It ends with the program: a returned machine gets no more commands.
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Executes commands that were sent directly.
    fn accept_direct_commands(&self, name: &str, direct: &DirectCommands) {
        if let Some(machine) = self.machines().get_mut(name) {
            machine.accept_direct(direct);
        }
        self.changed.notify_waiters();
    }

    /// Whether a higher fencing token has come directly since the last heartbeat.
    fn takes_heartbeat_request(&self, name: &str) -> bool {
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        machine.is_some_and(Machine::take_heartbeat_request)
    }

    /// Runs one worker, until its machine is returned.
    pub(crate) async fn run_worker(self: Arc<Self>, name: String, number: u64) {
        let http = HttpClient::with_max_idle_connections(1);
        let Ok(address) = self.listen(&name).await else {
            return;
        };
        let mut node = number as usize % self.nodes.len();
        // Heartbeats of a fleet that was rented at once are spread evenly, without chance.
        let phase = self
            .heartbeat_interval
            .mul_f64((number % HEARTBEAT_PHASES) as f64 / HEARTBEAT_PHASES as f64);
        let mut last_tasks = 0;
        tokio::time::sleep(phase).await;
        loop {
            let sent_at = Instant::now();
            let Some(heartbeat) = self.next_heartbeat(&name, address) else {
                return;
            };
            let body = Some(encode(&heartbeat));
            let front = self.nodes[node].front;
            let answer = http
                .call(
                    hyper::Method::POST,
                    front,
                    "/v1/report",
                    body,
                    REPLY_TIMEOUT,
                )
                .await;
            if let Ok(answer) = &answer
                && answer.status == 200
            {
                self.heartbeats.fetch_add(1, Ordering::Relaxed);
                let commanded = self.accept_response(&name, answer);
                last_tasks = self.pause(&name, sent_at, commanded, last_tasks).await;
                continue;
            }
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            node = self.other_node(node, answer.ok().as_ref());
        }
    }

    /// The worker's next heartbeat; none if its machine was returned.
    fn next_heartbeat(&self, name: &str, address: SocketAddr) -> Option<Heartbeat> {
        let mut machines = self.machines();
        let machine = machines.get_mut(name)?;
        machine.advance();
        Some(machine.heartbeat(name, address))
    }

    /// Executes the commands of a reply; whether there were any.
    fn accept_response(&self, name: &str, answer: &HttpResponse) -> bool {
        let Ok(response) = decode::<HeartbeatResponse>(&answer.body) else {
            return false;
        };
        let mut machines = self.machines();
        let machine = machines.get_mut(name);
        machine.is_some_and(|machine| machine.accept(&response))
    }

    /// The node that a redirect names, or the next one.
    fn other_node(&self, node: usize, answer: Option<&HttpResponse>) -> usize {
        let redirect = answer.and_then(|answer| decode::<LeaderRedirect>(&answer.body).ok());
        let leader = redirect.and_then(|redirect| redirect.leader);
        let known = self
            .nodes
            .iter()
            .position(|node| Some(&node.name) == leader.as_ref());
        known.unwrap_or((node + 1) % self.nodes.len())
    }

    /// Waits until the next heartbeat is due: soon after commands or a change of the tasks, else after
    /// the usual time. The number of tasks now.
    async fn pause(
        &self,
        name: &str,
        sent_at: Instant,
        commanded: bool,
        last_tasks: usize,
    ) -> usize {
        let tasks = {
            let mut machines = self.machines();
            let Some(machine) = machines.get_mut(name) else {
                return 0;
            };
            machine.task_count()
        };
        let due = match commanded || tasks != last_tasks {
            true => sent_at + MIN_HEARTBEAT_INTERVAL,
            false => sent_at + self.heartbeat_interval,
        };
        while Instant::now() < due {
            let requested = self.changed.notified();
            if self.takes_heartbeat_request(name) {
                sleep_until(sent_at + MIN_HEARTBEAT_INTERVAL).await;
                break;
            }
            let _ = tokio::time::timeout_at(due, requested).await;
        }
        tasks
    }
}
