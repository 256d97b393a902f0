//! The effects that the engine returns at the end of a step, and the calls in flight.

use super::messages::{CallId, Effect, PendingCall, Reply, ReplyId};
use crate::cloud::CloudCall;
use crate::store::StoreCall;
use crate::wire::worker::DirectCommands;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Collects the effects of a step and records the purpose of each call in flight.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    effects: Vec<Effect>,
    last_call_id: CallId,
    pending_calls: BTreeMap<CallId, PendingCall>,
}

impl Outbox {
    /// Adds the effect that calls the state service.
    pub(super) fn call_store(&mut self, pending: PendingCall, call: StoreCall) {
        let urgent = pending.is_urgent();
        let call_id = self.register(pending);
        self.effects.push(Effect::CallStore {
            call_id,
            call,
            urgent,
        });
    }

    /// Adds the effect that calls the cloud.
    pub(super) fn call_cloud(&mut self, pending: PendingCall, call: CloudCall) {
        let call_id = self.register(pending);
        self.effects.push(Effect::CallCloud { call_id, call });
    }

    /// Adds the effect that replies to a command.
    pub(super) fn reply(&mut self, to: ReplyId, reply: Reply) {
        self.effects.push(Effect::Reply { to, reply });
    }

    /// Adds the effect that sends commands directly to a worker.
    pub(super) fn send_commands(&mut self, address: SocketAddr, commands: DirectCommands) {
        self.effects
            .push(Effect::SendCommands { address, commands });
    }

    /// Removes a completed call and returns its purpose, or `None` if the outcome is to be ignored.
    pub(super) fn complete(&mut self, call_id: CallId) -> Option<PendingCall> {
        self.pending_calls.remove(&call_id)
    }

    /// Drops the calls in flight that only a leader or a candidate makes, so that their outcomes
    /// are ignored. An outcome of one term must not be applied in another, because the placements
    /// and completions to which it refers are not known there.
    pub(super) fn drop_leader_calls(&mut self) {
        self.pending_calls
            .retain(|_, pending| !pending.is_leader_only());
    }

    /// Removes and returns the effects collected since the last call, in order.
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
