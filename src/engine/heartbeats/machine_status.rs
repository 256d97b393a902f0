//! Records what a heartbeat says of its machine.

use super::{TermConfirmation, sequence_of};
use crate::engine::Engine;
use crate::model::{FencingToken, Machine, MachineId, MachinePhase, Timestamp};
use crate::wire::worker::Heartbeat;
use std::time::Duration;

impl Engine {
    /// Records what a heartbeat says of the machine itself; false if the heartbeat is out of date or
    /// of a machine that was returned.
    pub(super) fn record_machine_status(
        &mut self,
        heartbeat: &Heartbeat,
        confirmation: TermConfirmation,
    ) -> bool {
        let now = self.context.now();
        let deadline = self.context.timing().heartbeat_deadline;
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
            record_status(machine, heartbeat, token, confirmed, now, deadline)
        });
        let Some(news) = recorded.flatten() else {
            return false;
        };
        if news {
            leader.scheduling.request();
        }
        true
    }
}

/// Records a heartbeat's description of its machine. Returns whether scheduling may act on it;
/// `None` if a newer heartbeat was recorded before.
fn record_status(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    token: FencingToken,
    confirmed: bool,
    now: Timestamp,
    deadline: Duration,
) -> Option<bool> {
    let sequence = sequence_of(heartbeat);
    if sequence <= machine.heartbeat_sequence {
        return None;
    }
    machine.fencing_token = token;
    machine.record_heartbeat(sequence, confirmed, now, deadline);
    record_description(machine, heartbeat);
    let mut news = record_preemption_notice(machine, heartbeat, now);
    if confirmed && machine.phase == MachinePhase::Booting {
        machine.phase = MachinePhase::Up;
        machine.idle_since = now;
        news = true;
    }
    Some(news)
}

/// Records the machine's type, zone and address.
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

/// Records when the cloud will take a spot instance back; whether that is news.
fn record_preemption_notice(machine: &mut Machine, heartbeat: &Heartbeat, now: Timestamp) -> bool {
    let notice = heartbeat.preemption_notice_s;
    let Some(notice_s) = notice.filter(|seconds| seconds.is_finite()) else {
        return false;
    };
    let first = machine.preemption_at.is_none();
    if first {
        tracing::info!(
            machine = heartbeat.machine,
            notice_s,
            "spot preemption notice"
        );
    }
    let notice = Duration::from_millis((notice_s.max(0.0) * 1000.0) as u64);
    machine.preemption_at = Some(now + notice);
    first
}
