//! The queue of events and the fake clock.

use super::nodes::{Caller, ProcessId};
use super::state_service::Watch;
use super::{Millis, SimulatedCluster};
use crate::engine::{Command, Reply};
use crate::store::StoreCall;
use crate::wire::store::Transaction;
use crate::wire::worker::{DirectCommands, Heartbeat};

/// Between two steps of an engine to which nothing else happens.
const TICK_INTERVAL: Millis = 200;
/// How often [`SimulatedCluster::run_until`] looks at its condition.
const CONDITION_CHECK_INTERVAL: Millis = 100;

/// Something that happens at a scheduled time.
pub(super) enum Event {
    /// An engine takes a step without a command.
    Tick { node: usize },
    /// A node announces itself to its peers.
    Announce { node: usize },
    /// A call arrives at the state service.
    StoreCall { caller: Caller, call: StoreCall },
    /// A watch begins.
    Watch(Watch),
    /// A command arrives at an engine.
    Command {
        process: ProcessId,
        command: Command,
    },
    /// A worker's next heartbeat is due.
    SendHeartbeat { machine: String },
    /// The reply to a heartbeat arrives; none: its timeout has passed.
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
    /// A transaction that its sender has given up is executed.
    LateCommit(Transaction),
    /// A copy of a heartbeat arrives at all nodes.
    DuplicateHeartbeat(Heartbeat),
}

impl Event {
    fn is_command_for(&self, receiver: ProcessId) -> bool {
        matches!(self, Event::Command { process, .. } if *process == receiver)
    }
}

impl SimulatedCluster {
    /// Schedules an event after that time.
    pub(super) fn schedule(&mut self, delay: Millis, event: Event) {
        let sequence = self.next_sequence();
        self.events.insert((self.now + delay, sequence), event);
    }

    /// Lets that time pass.
    pub(crate) fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(event) = self.next_event_until(end) {
            self.expire_leases();
            self.advance_tasks();
            self.handle(event);
        }
        self.now = end;
    }

    /// Lets time pass until the condition holds, but no more than that; whether it holds.
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

    /// Takes the next event that is due by then, and sets the clock to its time.
    fn next_event_until(&mut self, end: Millis) -> Option<Event> {
        let (&(due_at, _), _) = self.events.first_key_value()?;
        if due_at > end {
            return None;
        }
        self.now = due_at;
        self.events.pop_first().map(|(_, event)| event)
    }

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
                // Its comparisons may well fail by now.
                let _ = self.commit(&transaction);
            }
            Event::DuplicateHeartbeat(heartbeat) => self.redeliver_heartbeats(&[heartbeat]),
        }
    }

    fn tick(&mut self, node: usize) {
        if self.nodes[node].engine.is_some() {
            self.step(self.process_of(node), Vec::new());
            self.schedule(TICK_INTERVAL, Event::Tick { node });
        }
    }

    /// The command, with those for the same process that are due within the batch window.
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
