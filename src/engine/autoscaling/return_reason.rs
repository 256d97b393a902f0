//! Why a machine is returned.

use super::Autoscaling;
use crate::constants;
use crate::engine::Engine;
use crate::engine::leader::Leader;
use crate::model::{Machine, MachinePhase, Timestamp, whole_millis};
use std::fmt;
use std::time::Duration;

/// Why a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReturnReason {
    /// It sends no heartbeats, or does not receive responses.
    Silent,
    /// Known by a heartbeat alone, perhaps a late copy from a machine that is long gone.
    NeverAnswered,
    /// It did not boot in time.
    NeverCameUp,
    /// The cloud's notice has run out and it sends no heartbeats any more.
    Preempted,
    /// Tasks failed on it; it is empty now.
    Quarantined,
    /// Its replicas were moved to other machines.
    Drained,
    /// Nothing has used it for a while.
    Idle,
}

/// The reason as logs and operators' pages name it.
impl fmt::Display for ReturnReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ReturnReason::Silent => "silent",
            ReturnReason::NeverAnswered => "never answered",
            ReturnReason::NeverCameUp => "never came up",
            ReturnReason::Preempted => "preempted",
            ReturnReason::Quarantined => "quarantined",
            ReturnReason::Drained => "drained",
            ReturnReason::Idle => "idle",
        })
    }
}

impl Autoscaling {
    /// When a zone was last found to be cut off; the clock's zero if it never was.
    fn last_cut_off(&self, zone: &str) -> Timestamp {
        self.cut_off_zones.get(zone).copied().unwrap_or_default()
    }
}

impl Engine {
    /// Why the machine is to be returned, if it is.
    pub(super) fn reason_to_return(
        &self,
        leader: &Leader,
        machine: &Machine,
    ) -> Option<ReturnReason> {
        let now = self.context.now();
        let silent = self.is_silent(leader, machine);
        match machine.phase {
            MachinePhase::Booting if silent && !machine.tasks.is_empty() => {
                Some(ReturnReason::Silent)
            }
            MachinePhase::Booting if silent && !machine.confirmed_by_cloud => {
                Some(ReturnReason::NeverAnswered)
            }
            // After an election every machine is new to this leader, however long it has been
            // rented: it must have had time to send a heartbeat.
            MachinePhase::Booting if silent && self.is_boot_overdue(machine) => {
                Some(ReturnReason::NeverCameUp)
            }
            // Asking for its return gives the proof that its tasks are gone without waiting for a
            // lease.
            MachinePhase::Up if self.is_preempted(machine) => Some(ReturnReason::Preempted),
            MachinePhase::Up if silent => Some(ReturnReason::Silent),
            MachinePhase::Up if machine.quarantined && machine.is_empty() => {
                Some(ReturnReason::Quarantined)
            }
            MachinePhase::Up if machine.draining && machine.is_empty() => {
                Some(ReturnReason::Drained)
            }
            MachinePhase::Up if self.is_surplus(leader, machine, now) => Some(ReturnReason::Idle),
            _ => None,
        }
    }

    /// Whether a machine has sent no proof for too long that it is alive and receives responses.
    fn is_silent(&self, leader: &Leader, machine: &Machine) -> bool {
        let now = self.context.now();
        let timing = self.context.timing();
        // A zone that can't be reached keeps working while a node there responds in our stead: its
        // machines' silence counts from the end of the cut, or from the end of the longest time for
        // which a node may do so.
        let cut_off_at = leader.autoscaling.last_cut_off(&machine.zone);
        let excused_until = cut_off_at.min(machine.last_confirmed_at + timing.leader_grace);
        let unheard = now.saturating_since(machine.last_confirmed_at.max(excused_until));
        // One that sends heartbeats although nothing proves that it receives responses is given
        // its next heartbeat.
        let since_heartbeat = now.saturating_since(machine.last_heartbeat_at);
        let patience = match since_heartbeat <= timing.heartbeat_deadline {
            true => timing.machine_timeout + timing.heartbeat_deadline,
            false => timing.machine_timeout,
        };
        unheard > patience
    }

    /// Whether a machine should have come up by now.
    fn is_boot_overdue(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.get(&machine.machine_type);
        let patience = machine_type.map_or(Duration::ZERO, |machine_type| {
            let boot_millis = whole_millis(machine_type.boot_time) as f64;
            Duration::from_millis((boot_millis * constants::BOOT_TIMEOUT_FACTOR) as u64)
        });
        let patience = patience.max(constants::MIN_BOOT_TIMEOUT);
        self.context.now().saturating_since(machine.rented_at) > patience
    }

    /// Whether the cloud's notice has run out, and the machine sends no heartbeats any more.
    fn is_preempted(&self, machine: &Machine) -> bool {
        let now = self.context.now();
        let past_notice = machine.preemption_at.is_some_and(|at| now > at);
        let unconfirmed = now.saturating_since(machine.last_confirmed_at);
        past_notice && unconfirmed > self.context.timing().heartbeat_interval
    }

    /// Whether a machine is idle for longer than the operators allow, no expected job would use it,
    /// and the least time that the cloud charges for is over.
    fn is_surplus(&self, leader: &Leader, machine: &Machine, now: Timestamp) -> bool {
        let idle_s = self.context.settings().operator.idle_s;
        let idle_limit = Duration::from_millis((idle_s * 1000.0) as u64);
        machine.is_empty()
            && !leader.autoscaling.reserved.contains(&machine.id)
            && now.saturating_since(machine.idle_since) > idle_limit
            && now.saturating_since(machine.rented_at) > constants::MIN_CHARGED_TIME
    }
}
