//! The workers' heartbeats and the replies to them.

use super::super::events::Event;
use super::super::settings::node_index;
use super::super::{Millis, PendingHeartbeat, SimulatedCluster, cloud::MACHINE_TYPE};
use super::{WORKER_LEASE, Worker};
use crate::engine::{Command, Reply};
use crate::wire::worker::{Heartbeat, HeartbeatResponse, Task};

/// Time from a response that changes no task of the worker to the next heartbeat.
const HEARTBEAT_INTERVAL: Millis = 3_000;
/// Minimum time between two heartbeats of a worker.
pub(super) const MIN_HEARTBEAT_INTERVAL: Millis = 500;
/// Time from a redirect to the next heartbeat.
const REDIRECT_DELAY: Millis = 100;
/// Time from a refusal or a timeout to the next heartbeat.
const RETRY_DELAY: Millis = 1_000;
/// Time for which a worker waits for the reply to a heartbeat.
const REPLY_TIMEOUT: Millis = 4_000;

impl Worker {
    /// Creates the next heartbeat and keeps a copy of it.
    fn next_heartbeat(&mut self, machine: &str, preemption_notice_s: Option<f64>) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, task)| Task {
            task: id.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            checkpoint_saved: task.checkpoint_saved,
        });
        let heartbeat = Heartbeat {
            machine: machine.into(),
            address: format!("127.0.0.1:{}", machine[5..].parse::<u16>().unwrap()),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s,
            tasks: tasks.collect(),
        };
        self.sent_heartbeats.push(heartbeat.clone());
        heartbeat
    }

    /// Reports whether a reply, or a timeout if there is none, belongs to the heartbeat in flight.
    fn matches_in_flight_heartbeat(
        &self,
        sequence: u64,
        reply: Option<&Reply>,
        now: Millis,
    ) -> bool {
        let too_early = reply.is_none() && self.last_sent_at + REPLY_TIMEOUT > now;
        self.awaits_reply && self.sequence >= sequence && !too_early
    }

    /// Reports whether a higher fencing token may cause an early heartbeat now, and if so records
    /// the time. Early heartbeats are limited to one per half lease.
    pub(super) fn claim_early_heartbeat(&mut self, now: Millis) -> bool {
        let last = self.last_early_heartbeat_at;
        let due = last.is_none_or(|at| now >= at + WORKER_LEASE / 2);
        if due {
            self.last_early_heartbeat_at = Some(now);
        }
        due
    }
}

impl SimulatedCluster {
    /// Schedules the worker's next heartbeat. It replaces a heartbeat that was scheduled before.
    pub(in super::super) fn schedule_heartbeat(&mut self, machine: &str, delay: Millis) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.next_heartbeat_at = self.now + delay;
            let machine = machine.into();
            self.schedule(delay, Event::SendHeartbeat { machine });
        }
    }

    /// Reschedules the next heartbeats of all workers so that they are spread over the given
    /// duration from now.
    pub(crate) fn schedule_all_heartbeats_within(&mut self, duration: Millis) {
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for (number, machine) in (0..).zip(machines) {
            self.schedule_heartbeat(&machine, number % duration);
        }
    }

    /// Delivers duplicates of heartbeats, newest first, to every running node. Their replies are
    /// lost.
    pub(crate) fn redeliver_heartbeats(&mut self, heartbeats: &[Heartbeat]) {
        for node in 0..self.nodes.len() {
            for heartbeat in heartbeats.iter().rev().cloned() {
                let reply = self.next_sequence();
                self.step_with_command(node, Command::Heartbeat { heartbeat, reply });
            }
        }
    }

    /// Sends a worker's heartbeat, or reschedules it if the machine is hung or another heartbeat is
    /// in flight.
    pub(in super::super) fn send_heartbeat(&mut self, machine: &str) {
        let hung = self.faults.hung_machines.contains(machine);
        let notice = self.faults.preemption_notices.get(machine).copied();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if hung || worker.awaits_reply {
            return self.schedule_heartbeat(machine, MIN_HEARTBEAT_INTERVAL);
        }
        worker.awaits_reply = true;
        worker.last_sent_at = self.now;
        let heartbeat = worker.next_heartbeat(machine, notice);
        let node = worker.node;
        self.heartbeats_sent += 1;
        self.schedule_duplicate(&heartbeat);
        let sequence = heartbeat.sequence;
        let timeout = Event::ReceiveReply {
            machine: machine.into(),
            sequence,
            reply: None,
        };
        self.schedule(REPLY_TIMEOUT, timeout);
        if self.heartbeat_reaches(machine, node) && self.nodes[node].engine.is_some() {
            let reply = self.next_sequence();
            let machine = machine.into();
            let pending = PendingHeartbeat { machine, sequence };
            self.pending_heartbeats.insert(reply, pending);
            let process = self.process_of(node);
            let command = Command::Heartbeat { heartbeat, reply };
            self.deliver(Event::Command { process, command });
        }
    }

    /// Schedules the late arrival of a duplicate for every nth heartbeat.
    fn schedule_duplicate(&mut self, heartbeat: &Heartbeat) {
        let number = self.heartbeats_sent;
        if number.is_multiple_of(self.faults.duplicate_heartbeat_every) {
            let delay = 2_000 + number * 3_700 % 36_000;
            self.schedule(delay, Event::DuplicateHeartbeat(heartbeat.clone()));
        }
    }

    /// Handles the arrival of the reply to a heartbeat, or the timeout if the reply is `None`.
    pub(in super::super) fn receive_reply(
        &mut self,
        machine: &str,
        sequence: u64,
        reply: Option<Reply>,
    ) {
        let hung = self.faults.hung_machines.contains(machine);
        let replies_lost = self.faults.machines_without_replies.contains(machine);
        if reply.is_some() && (hung || replies_lost) {
            return;
        }
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if hung {
            // A hung machine handles the timeout once it resumes.
            let timeout = Event::ReceiveReply {
                machine: machine.into(),
                sequence,
                reply: None,
            };
            return self.schedule(MIN_HEARTBEAT_INTERVAL, timeout);
        }
        if !worker.matches_in_flight_heartbeat(sequence, reply.as_ref(), self.now) {
            return;
        }
        worker.awaits_reply = false;
        let delay = match reply {
            Some(Reply::HeartbeatAccepted(response)) => self.accept_response(machine, &response),
            Some(Reply::RedirectToLeader(Some(leader))) => {
                worker.node = node_index(&leader);
                REDIRECT_DELAY
            }
            _ => {
                worker.node = (worker.node + 1) % self.nodes.len();
                RETRY_DELAY
            }
        };
        self.schedule_heartbeat(machine, delay);
    }

    /// Accepts the leader's response unless its fencing token is stale, executes the commands, and
    /// returns the time until the next heartbeat.
    fn accept_response(&mut self, machine: &str, response: &HeartbeatResponse) -> Millis {
        let Some(worker) = self.workers.get_mut(machine) else {
            return HEARTBEAT_INTERVAL;
        };
        if response.fencing_token < worker.fencing_token {
            return HEARTBEAT_INTERVAL;
        }
        let new_leader = response.fencing_token > worker.fencing_token;
        let send_early = new_leader && worker.claim_early_heartbeat(self.now);
        worker.fencing_token = response.fencing_token;
        worker.last_accepted_at = worker.last_sent_at;
        let tasks_before = worker.tasks.len();
        self.execute(machine, &response.commands);
        if send_early || self.workers[machine].tasks.len() != tasks_before {
            MIN_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        }
    }
}
