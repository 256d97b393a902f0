//! Decides whether and why a machine is returned.

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
    /// The machine sends no heartbeats or does not receive responses to them.
    Silent,
    /// The machine is known only from a heartbeat, which may be a delayed duplicate from a machine
    /// that no longer exists.
    NeverAnswered,
    /// The machine did not boot in time.
    NeverCameUp,
    /// The cloud's preemption notice has expired and the machine no longer sends heartbeats.
    Preempted,
    /// The machine was quarantined after failures of tasks, and is now empty.
    Quarantined,
    /// The machine was drained and is now empty: its replicas were moved to other machines.
    Drained,
    /// The machine has been idle for longer than the configured limit.
    Idle,
}

/// Writes the reason as it appears in logs and in the operators' documentation.
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
    /// Returns the time at which a zone was last found to be cut off, or the clock's zero if it
    /// never was.
    fn last_cut_off(&self, zone: &str) -> Timestamp {
        self.cut_off_zones.get(zone).copied().unwrap_or_default()
    }
}

impl Engine {
    /// Returns the reason to return the machine, or `None` if it is kept.
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
            // rented. The check for silence gives the machine time to send a heartbeat.
            MachinePhase::Booting if silent && self.is_boot_overdue(machine) => {
                Some(ReturnReason::NeverCameUp)
            }
            // The cloud's response to the return proves that the machine's tasks are gone, without
            // waiting for the worker's lease to expire.
            MachinePhase::Up if self.is_preempted(machine) => Some(ReturnReason::Preempted),
            MachinePhase::Up if silent => Some(ReturnReason::Silent),
            MachinePhase::Up if machine.quarantine.is_some() && machine.is_empty() => {
                Some(ReturnReason::Quarantined)
            }
            MachinePhase::Up if machine.draining && machine.is_empty() => {
                Some(ReturnReason::Drained)
            }
            MachinePhase::Up if self.is_surplus(leader, machine, now) => Some(ReturnReason::Idle),
            _ => None,
        }
    }

    /// Reports whether, for longer than the timeout, no heartbeat has proved that the machine is
    /// alive and receives responses.
    fn is_silent(&self, leader: &Leader, machine: &Machine) -> bool {
        let now = self.context.now();
        let timing = self.context.timing();
        // The machines of a zone that is cut off from this node keep working while a node in that
        // zone responds in the leader's place. Their silence counts from the end of the partition,
        // or from the end of the longest time for which a node may respond in the leader's place,
        // whichever is earlier.
        let cut_off_at = leader.autoscaling.last_cut_off(&machine.zone);
        let grace_ends_at = cut_off_at.min(machine.last_confirmed_at + timing.leader_grace);
        let silent_for = now.saturating_since(machine.last_confirmed_at.max(grace_ends_at));
        // A machine that sends heartbeats, without proof that it receives responses, has until its
        // next heartbeat to give that proof.
        let since_heartbeat = now.saturating_since(machine.last_heartbeat_at);
        let timeout = match since_heartbeat <= timing.heartbeat_deadline {
            true => timing.machine_timeout + timing.heartbeat_deadline,
            false => timing.machine_timeout,
        };
        silent_for > timeout
    }

    /// Reports whether a machine has been rented for longer than its boot timeout.
    fn is_boot_overdue(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.get(&machine.machine_type);
        let timeout = machine_type.map_or(Duration::ZERO, |machine_type| {
            let boot_millis = whole_millis(machine_type.boot_time) as f64;
            Duration::from_millis((boot_millis * constants::BOOT_TIMEOUT_FACTOR) as u64)
        });
        let timeout = timeout.max(constants::MIN_BOOT_TIMEOUT);
        self.context.now().saturating_since(machine.rented_at) > timeout
    }

    /// Reports whether the cloud's preemption notice has expired and the machine no longer sends
    /// heartbeats.
    fn is_preempted(&self, machine: &Machine) -> bool {
        let now = self.context.now();
        let notice_expired = machine.preemption_at.is_some_and(|at| now > at);
        let unconfirmed_for = now.saturating_since(machine.last_confirmed_at);
        notice_expired && unconfirmed_for > self.context.timing().heartbeat_interval
    }

    /// Reports whether a machine has been idle for longer than the operators' limit, is not kept
    /// for waiting or expected jobs, and has been rented for longer than the cloud's minimum
    /// charged time.
    fn is_surplus(&self, leader: &Leader, machine: &Machine, now: Timestamp) -> bool {
        let idle_s = self.context.settings().operator.idle_s;
        let idle_limit = Duration::from_millis((idle_s * 1000.0) as u64);
        machine.is_empty()
            && !leader.autoscaling.reserved.contains(&machine.id)
            && now.saturating_since(machine.idle_since) > idle_limit
            && now.saturating_since(machine.rented_at) > constants::MIN_CHARGED_TIME
    }
}
