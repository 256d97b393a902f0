//! Effects that leave the engine at the end of a step, and the calls whose outcomes come back.

use super::messages::{CallId, Effect, PendingCall, Reply, ReplyId};
use crate::cloud::CloudCall;
use crate::store::StoreCall;
use crate::wire::worker::DirectCommands;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Collects the effects of a step and remembers what each call in flight was made for.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    effects: Vec<Effect>,
    last_call_id: CallId,
    pending_calls: BTreeMap<CallId, PendingCall>,
}

impl Outbox {
    /// Calls the state service.
    pub(super) fn call_store(&mut self, pending: PendingCall, call: StoreCall) {
        let urgent = pending.is_urgent();
        let call_id = self.register(pending);
        self.effects.push(Effect::CallStore {
            call_id,
            call,
            urgent,
        });
    }

    /// Calls the cloud.
    pub(super) fn call_cloud(&mut self, pending: PendingCall, call: CloudCall) {
        let call_id = self.register(pending);
        self.effects.push(Effect::CallCloud { call_id, call });
    }

    /// Replies to a command.
    pub(super) fn reply(&mut self, to: ReplyId, reply: Reply) {
        self.effects.push(Effect::Reply { to, reply });
    }

    /// Sends commands to a worker directly.
    pub(super) fn send_commands(&mut self, address: SocketAddr, commands: DirectCommands) {
        self.effects
            .push(Effect::SendCommands { address, commands });
    }

    /// What a call that has completed was made for; `None` if nobody awaits its outcome any more.
    pub(super) fn complete(&mut self, call_id: CallId) -> Option<PendingCall> {
        self.pending_calls.remove(&call_id)
    }

    /// Drops the outcomes of calls that only a leader makes: those of one term mean nothing in
    /// another, in which placements and completions are not known.
    pub(super) fn forget_leader_calls(&mut self) {
        self.pending_calls
            .retain(|_, pending| !pending.is_leaders());
    }

    /// The effects since the last time, in order.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn register(&mut self, pending: PendingCall) -> CallId {
        self.last_call_id += 1;
        self.pending_calls.insert(self.last_call_id, pending);
        self.last_call_id
    }
}

#[cfg(test)]
mod tests;
