//! The bounded queue of messages to workers, in which messages that stop tasks have priority.

use crate::constants;
use crate::wire::worker::DirectCommands;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// One message to a worker.
#[derive(Debug)]
pub(super) struct WorkerCall {
    /// Address at which the worker accepts direct commands.
    pub(super) address: SocketAddr,
    /// The commands to send; empty if the message only announces a fencing token.
    pub(super) commands: DirectCommands,
}

/// The queued calls, and the number of calls in flight.
#[derive(Debug, Default)]
pub(super) struct CallQueue {
    /// Queued calls with commands, all of which are stops.
    stops: VecDeque<WorkerCall>,
    /// Queued calls without commands, which only announce a fencing token.
    token_updates: VecDeque<WorkerCall>,
    /// Number of calls in flight.
    in_flight: usize,
}

impl CallQueue {
    /// Returns the call if it may be made now. Otherwise the call is queued, or dropped if its
    /// queue is full. For each returned call, the caller must call
    /// [`CallQueue::finish_and_take_next`] once after the call has ended.
    pub(super) fn start_or_enqueue(&mut self, call: WorkerCall) -> Option<WorkerCall> {
        if self.in_flight < constants::MAX_WORKER_CALLS {
            self.in_flight += 1;
            return Some(call);
        }
        let queue = if call.commands.commands.is_empty() {
            &mut self.token_updates
        } else {
            &mut self.stops
        };
        if queue.len() < constants::MAX_QUEUED_WORKER_CALLS {
            queue.push_back(call);
        } else {
            tracing::debug!(address = %call.address, "queue of direct commands is full, call dropped");
        }
        None
    }

    /// Records that a call has ended, and returns the next call to make, if one is queued.
    pub(super) fn finish_and_take_next(&mut self) -> Option<WorkerCall> {
        let next = self
            .stops
            .pop_front()
            .or_else(|| self.token_updates.pop_front());
        if next.is_none() {
            self.in_flight -= 1;
        }
        next
    }
}

#[cfg(test)]
mod tests;
