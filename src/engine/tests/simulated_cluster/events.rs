//! The event queue and the fake clock.

use super::nodes::{Caller, ProcessId};
use super::state_service::Watch;
use super::{Millis, SimulatedCluster};
use crate::engine::{Command, Reply};
use crate::store::StoreCall;
use crate::wire::store::Transaction;
use crate::wire::worker::{DirectCommands, Heartbeat};

/// Time between two steps that an engine takes without a command.
const TICK_INTERVAL: Millis = 200;
/// Time between two evaluations of the condition of [`SimulatedCluster::run_until`].
const CONDITION_CHECK_INTERVAL: Millis = 100;

/// Something that happens at a scheduled time.
pub(super) enum Event {
    /// An engine takes a step without a command.
    Tick { node: usize },
    /// A node announces itself to its peers.
    Announce { node: usize },
    /// A call arrives at the state service.
    StoreCall { caller: Caller, call: StoreCall },
    /// A watch request arrives at the state service.
    Watch(Watch),
    /// A command arrives at an engine.
    Command {
        process: ProcessId,
        command: Command,
    },
    /// A worker's next heartbeat is due.
    SendHeartbeat { machine: String },
    /// The reply to a heartbeat arrives, or the timeout has passed if the reply is `None`.
    ReceiveReply {
        machine: String,
        sequence: u64,
        reply: Option<Reply>,
    },
    /// Direct commands arrive at a worker.
    DirectCommands {
        machine: String,
        direct: DirectCommands,
    },
    /// A delayed transaction, for which the sender gets no reply, is executed.
    LateCommit(Transaction),
    /// A duplicate of a heartbeat arrives at all nodes.
    DuplicateHeartbeat(Heartbeat),
}

impl Event {
    /// Reports whether the event is a command for the given process.
    fn is_command_for(&self, receiver: ProcessId) -> bool {
        matches!(self, Event::Command { process, .. } if *process == receiver)
    }
}

impl SimulatedCluster {
    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, delay: Millis, event: Event) {
        let sequence = self.next_sequence();
        self.events.insert((self.now + delay, sequence), event);
    }

    /// Advances the fake clock by a duration and handles all events that become due.
    pub(crate) fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(event) = self.next_event_until(end) {
            self.expire_leases();
            self.advance_tasks();
            self.handle(event);
        }
        self.now = end;
    }

    /// Advances the fake clock until the condition holds or the timeout has passed. Reports whether
    /// the condition holds.
    pub(crate) fn run_until(
        &mut self,
        timeout: Millis,
        condition: impl Fn(&SimulatedCluster) -> bool,
    ) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run(CONDITION_CHECK_INTERVAL);
        }
        condition(self)
    }

    /// Removes and returns the next event that is due at `end` or before, and sets the clock to its
    /// time.
    fn next_event_until(&mut self, end: Millis) -> Option<Event> {
        let (&(due_at, _), _) = self.events.first_key_value()?;
        if due_at > end {
            return None;
        }
        self.now = due_at;
        self.events.pop_first().map(|(_, event)| event)
    }

    /// Handles an event that is due.
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node } => self.tick(node),
            Event::Announce { node } => self.announce(node),
            Event::StoreCall { caller, call } => self.serve_store_call(caller, &call),
            Event::Watch(watch) => self.begin_watch(watch),
            Event::Command { process, command } => {
                let batch = self.take_batch(process, command);
                self.step(process, batch);
            }
            Event::SendHeartbeat { machine } => {
                let worker = self.workers.get(&machine);
                if worker.is_some_and(|worker| worker.next_heartbeat_at == self.now) {
                    self.send_heartbeat(&machine);
                }
            }
            Event::ReceiveReply {
                machine,
                sequence,
                reply,
            } => self.receive_reply(&machine, sequence, reply),
            Event::DirectCommands { machine, direct } => {
                self.receive_direct_commands(machine, direct);
            }
            Event::LateCommit(transaction) => {
                // The result is ignored: newer commits may have made the comparisons fail.
                let _ = self.commit(&transaction);
            }
            Event::DuplicateHeartbeat(heartbeat) => self.redeliver_heartbeats(&[heartbeat]),
        }
    }

    /// Lets a running engine take a step without a command, and schedules the next tick.
    fn tick(&mut self, node: usize) {
        if self.nodes[node].engine.is_some() {
            self.step(self.process_of(node), Vec::new());
            self.schedule(TICK_INTERVAL, Event::Tick { node });
        }
    }

    /// Returns the command together with all others for the same process that are due within the
    /// batch window, and removes those from the queue.
    fn take_batch(&mut self, process: ProcessId, command: Command) -> Vec<Command> {
        let mut batch = vec![command];
        let Some(window) = self.batch_window else {
            return batch;
        };
        let due = self.events.range(..=(self.now + window, u64::MAX));
        let commands = due.filter(|(_, event)| event.is_command_for(process));
        let keys: Vec<(Millis, u64)> = commands.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(Event::Command { command, .. }) = self.events.remove(&key) {
                batch.push(command);
            }
        }
        batch
    }
}
