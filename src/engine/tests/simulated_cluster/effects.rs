//! Applies the effects of an engine's step: replies, calls and direct commands.

use super::events::Event;
use super::nodes::{Caller, ProcessId};
use super::state_service::Watch;
use super::workers::machine_name;
use super::{Millis, PendingHeartbeat, SimulatedCluster};
use crate::cloud::CloudCall;
use crate::engine::{Command, Effect, Reply, ReplyId};
use crate::model::whole_millis;
use crate::store::StoreCall;

/// Latency of a call to the cloud without jitter.
const CLOUD_LATENCY: Millis = 80;

impl SimulatedCluster {
    /// Applies one effect of a process's engine.
    pub(super) fn apply_effect(&mut self, process: ProcessId, effect: Effect) {
        match effect {
            Effect::Reply { to, reply } => self.send_reply(process, to, reply),
            Effect::CallStore { call_id, call, .. } => {
                self.call_store(Caller { process, call_id }, call);
            }
            Effect::CallCloud { call_id, call } => {
                self.call_cloud(Caller { process, call_id }, call);
            }
            Effect::SendCommands { address, commands } => {
                let machine = machine_name(address.port().into());
                if self.is_connected(&machine, process.node) {
                    self.deliver(Event::DirectCommands {
                        machine,
                        direct: commands,
                    });
                }
            }
        }
    }

    /// Sends the reply to a heartbeat to its worker, if it can be reached, or keeps the reply to a
    /// query for the test.
    fn send_reply(&mut self, process: ProcessId, to: ReplyId, reply: Reply) {
        let Some(heartbeat) = self.pending_heartbeats.remove(&to) else {
            self.query_replies.insert(to, reply);
            return;
        };
        let PendingHeartbeat { machine, sequence } = heartbeat;
        if self.heartbeat_reaches(&machine, process.node) {
            self.deliver(Event::ReceiveReply {
                machine,
                sequence,
                reply: Some(reply),
            });
        }
    }

    /// Delivers a call to the state service. A call without delay is executed immediately, not as a
    /// new event.
    fn call_store(&mut self, caller: Caller, call: StoreCall) {
        if let StoreCall::Watch {
            prefix,
            after,
            wait,
        } = call
        {
            let jitter = self.next_jitter();
            let watch = Watch {
                caller,
                prefix,
                after,
                deadline: self.now + jitter + whole_millis(wait),
            };
            return match jitter {
                0 => self.handle(Event::Watch(watch)),
                delay => self.schedule(delay, Event::Watch(watch)),
            };
        }
        let call_delays = &self.faults.store_call_delay;
        let call_delay = call_delays.get(&caller.process.node).copied();
        let delay = self.faults.store_delay + call_delay.unwrap_or(0) + self.next_jitter();
        match delay {
            0 => self.serve_store_call(caller, &call),
            delay => self.schedule(delay, Event::StoreCall { caller, call }),
        }
    }

    /// Executes a call to the cloud immediately and schedules its reply after the call's latency.
    fn call_cloud(&mut self, caller: Caller, call: CloudCall) {
        let list_delay = match call {
            CloudCall::ListMachines { .. } => self.faults.machine_list_delay,
            _ => 0,
        };
        let delay = CLOUD_LATENCY + list_delay + self.next_jitter();
        let result = self.serve_cloud_call(call);
        let command = Command::CloudCallCompleted {
            call_id: caller.call_id,
            result,
        };
        let process = caller.process;
        self.schedule(delay, Event::Command { process, command });
    }
}
