//! Records the status of a machine from its heartbeats.

use super::{TermConfirmation, sequence_of};
use crate::engine::Engine;
use crate::model::{FencingToken, Machine, MachineId, MachinePhase, Timestamp};
use crate::wire::worker::Heartbeat;
use std::time::Duration;

impl Engine {
    /// Records the machine's own status from a heartbeat, without its tasks. Returns false if the
    /// heartbeat is not newer than the last one recorded, or if the machine was returned.
    pub(super) fn record_machine_status(
        &mut self,
        heartbeat: &Heartbeat,
        confirmation: TermConfirmation,
    ) -> bool {
        let now = self.context.now();
        let heartbeat_deadline = self.context.timing().heartbeat_deadline;
        let Some(leader) = self.leadership.leader_mut() else {
            return false;
        };
        let id = MachineId::from(&*heartbeat.machine);
        if leader.was_returned(&id) {
            return false;
        }
        let token = leader.fencing_token_for(&id, FencingToken(heartbeat.fencing_token));
        leader.machines.insert_if_absent(&id, |id| {
            tracing::info!(machine = %id, "heartbeat from unknown machine");
            Machine::unidentified(id, heartbeat.spot, now)
        });
        let confirmed = confirmation == TermConfirmation::Confirmed;
        let recorded = leader.machines.update(&id, |machine| {
            record_status(
                machine,
                heartbeat,
                token,
                confirmed,
                now,
                heartbeat_deadline,
            )
        });
        let Some(needs_scheduling) = recorded.flatten() else {
            return false;
        };
        if needs_scheduling {
            leader.scheduling.request();
        }
        true
    }
}

/// Records the machine's status from a heartbeat. Returns whether the change calls for a scheduling
/// pass, or `None` if this or a newer heartbeat was recorded before.
fn record_status(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    token: FencingToken,
    confirmed: bool,
    now: Timestamp,
    heartbeat_deadline: Duration,
) -> Option<bool> {
    let sequence = sequence_of(heartbeat);
    if sequence <= machine.heartbeat_sequence {
        return None;
    }
    machine.fencing_token = token;
    machine.record_heartbeat(sequence, confirmed, now, heartbeat_deadline);
    record_description(machine, heartbeat);
    let mut needs_scheduling = record_preemption_notice(machine, heartbeat, now);
    if confirmed && machine.phase == MachinePhase::Booting {
        machine.phase = MachinePhase::Up;
        machine.idle_since = now;
        needs_scheduling = true;
    }
    Some(needs_scheduling)
}

/// Records the machine's type, zone and address, and whether it is a spot instance.
fn record_description(machine: &mut Machine, heartbeat: &Heartbeat) {
    if &*machine.machine_type != heartbeat.machine_type.as_str() {
        machine.machine_type = heartbeat.machine_type.as_str().into();
    }
    if &*machine.zone != heartbeat.zone.as_str() {
        machine.zone = heartbeat.zone.as_str().into();
    }
    machine.spot = heartbeat.spot;
    machine.address = heartbeat.address.parse().ok();
}

/// Records when the cloud will preempt a spot instance. Returns whether this is the first notice.
fn record_preemption_notice(machine: &mut Machine, heartbeat: &Heartbeat, now: Timestamp) -> bool {
    let reported_s = heartbeat.preemption_notice_s;
    let Some(notice_s) = reported_s.filter(|seconds| seconds.is_finite()) else {
        return false;
    };
    let is_first_notice = machine.preemption_at.is_none();
    if is_first_notice {
        tracing::info!(
            machine = heartbeat.machine,
            notice_s,
            "spot preemption notice"
        );
    }
    let time_left = Duration::from_millis((notice_s.max(0.0) * 1000.0) as u64);
    machine.preemption_at = Some(now + time_left);
    is_first_notice
}
