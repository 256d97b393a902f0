//! The bounded queue of messages to workers, in which those that stop tasks go first.

use crate::constants;
use crate::wire::worker::DirectCommands;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// One message to a worker.
#[derive(Debug)]
pub(super) struct WorkerCall {
    /// Where the worker takes direct commands.
    pub(super) address: SocketAddr,
    /// The message.
    pub(super) commands: DirectCommands,
}

/// Calls that wait, and the number of those that are being made.
#[derive(Debug, Default)]
pub(super) struct CallQueue {
    /// Calls with commands.
    stops: VecDeque<WorkerCall>,
    /// Calls without commands, which only tell a fencing token.
    token_updates: VecDeque<WorkerCall>,
    in_flight: usize,
}

impl CallQueue {
    /// Returns the call if it may be made now. Otherwise it is queued, or dropped if its queue is
    /// full. For each call that is returned, [`CallQueue::finish_and_take_next`] is due once.
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

    /// Notes that a call has ended, and returns the one to make in its place.
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
