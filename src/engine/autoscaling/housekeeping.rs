//! Housekeeping: a regular pass over the fleet that decides which machines are returned and which
//! tasks save because their machine will be reclaimed.

use crate::constants;
use crate::engine::{Engine, Leader};
use crate::model::{Machine, MachineId, MachinePhase, Ms, TaskId};

/// Why a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReturnReason {
    /// It sends no reports, or does not hear our answers.
    Silent,
    /// Known by a report alone, perhaps a late copy from a machine that is long gone.
    NeverAnswered,
    NeverCameUp,
    /// The cloud's notice has run out and it no longer reports.
    Reclaimed,
    /// Tasks failed on it; it is empty now.
    Quarantined,
    /// Its replicas were moved to other machines.
    Drained,
    Idle,
}

impl ReturnReason {
    /// The reason as logs and operators' pages name it.
    fn as_str(self) -> &'static str {
        match self {
            ReturnReason::Silent => "silent",
            ReturnReason::NeverAnswered => "never answered",
            ReturnReason::NeverCameUp => "never came up",
            ReturnReason::Reclaimed => "taken",
            ReturnReason::Quarantined => "quarantined",
            ReturnReason::Drained => "drained",
            ReturnReason::Idle => "idle",
        }
    }
}

/// What a pass over the machines found.
#[derive(Debug, Default)]
struct Inspection {
    /// Machines to be returned.
    to_return: Vec<MachineId>,
    /// Tasks on machines that the cloud will reclaim, with the time left to them, ms.
    on_reclaimed: Vec<(TaskId, Ms)>,
}

impl Engine {
    /// Inspects the machines if that is due: silent, never up, failing, about to be reclaimed,
    /// idle.
    pub(in crate::engine) fn housekeep_machines_when_due(&mut self) {
        let now = self.now;
        let Some(autoscaling) = self.leader_mut().map(|l| &mut l.autoscaling) else {
            return;
        };
        if now < autoscaling.next_housekeeping_at {
            return;
        }
        autoscaling.next_housekeeping_at = now + constants::HOUSEKEEPING_INTERVAL_MS;
        self.note_cut_off_zones();
        if self.has_lost_contact_with_workers() {
            self.step_down("most workers can't be heard");
            self.campaign.at = now + constants::CAMPAIGN_PAUSE_AFTER_HANDOVER_MS;
            return;
        }
        let inspection = self.inspect_machines();
        self.mark_returning(&inspection.to_return);
        self.scale_in();
        self.stop_tasks_before_reclaim(inspection.on_reclaimed);
    }

    fn note_cut_off_zones(&mut self) {
        let now = self.now;
        let settings = self.settings.clone();
        for zone in &settings.cluster.zones {
            if !self.cut_off_from(zone) {
                continue;
            }
            if let Some(leader) = self.leader_mut() {
                let zones = &mut leader.autoscaling.cut_off_zones;
                zones.insert(zone.as_str().into(), now);
            }
        }
    }

    /// Whether most machines that were up have fallen silent together: more likely this node's
    /// trouble than theirs, and another node may be on the side of a cut where they are. (A leader
    /// that had lost only the workers once returned every machine.)
    fn has_lost_contact_with_workers(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let quiet_ms = 2 * self.timing.heartbeat_interval + constants::SAFETY_MARGIN_MS;
        let (mut up, mut heard) = (0, 0);
        for machine in leader.machines.values() {
            if machine.phase != MachinePhase::Up {
                continue;
            }
            up += 1;
            if self.now.saturating_sub(machine.last_confirmed_at) <= quiet_ms {
                heard += 1;
            }
        }
        up >= 2 && heard * 2 < up
    }

    fn inspect_machines(&self) -> Inspection {
        let mut inspection = Inspection::default();
        let Some(leader) = self.leader() else {
            return inspection;
        };
        for machine in leader.machines.values() {
            if let Some(reason) = self.reason_to_return(leader, machine) {
                let why = reason.as_str();
                tracing::info!(machine = %machine.id, why, "returning machine");
                inspection.to_return.push(machine.id.clone());
            }
            if let Some(at) = machine.preemption_at {
                let left_ms = at.saturating_sub(self.now);
                let tasks = machine.tasks.iter().map(|task| (task.clone(), left_ms));
                inspection.on_reclaimed.extend(tasks);
            }
        }
        inspection
    }

    fn reason_to_return(&self, leader: &Leader, machine: &Machine) -> Option<ReturnReason> {
        let since = |at: Ms| self.now.saturating_sub(at);
        let silent = self.is_silent(leader, machine);
        let overdue = since(machine.rented_at) > self.boot_patience(machine);
        let past_notice = machine.preemption_at.is_some_and(|at| self.now > at);
        let unreported = since(machine.last_confirmed_at) > self.timing.heartbeat_interval;
        match machine.phase {
            MachinePhase::Booting if silent && !machine.tasks.is_empty() => {
                Some(ReturnReason::Silent)
            }
            MachinePhase::Booting if silent && !machine.confirmed_by_cloud => {
                Some(ReturnReason::NeverAnswered)
            }
            // After a take-over every machine is new to this leader, however long it has been
            // rented: it must have had time to report.
            MachinePhase::Booting if overdue && silent => Some(ReturnReason::NeverCameUp),
            // Asking for its return gives the proof that its tasks are gone without waiting for a
            // lease.
            MachinePhase::Up if past_notice && unreported => Some(ReturnReason::Reclaimed),
            MachinePhase::Up if silent => Some(ReturnReason::Silent),
            MachinePhase::Up if machine.quarantined && machine.is_empty() => {
                Some(ReturnReason::Quarantined)
            }
            MachinePhase::Up if machine.draining && machine.is_empty() => {
                Some(ReturnReason::Drained)
            }
            MachinePhase::Up if self.is_surplus(leader, machine) => Some(ReturnReason::Idle),
            _ => None,
        }
    }

    /// Whether a machine has sent no proof for too long that it is alive and hears us.
    fn is_silent(&self, leader: &Leader, machine: &Machine) -> bool {
        // A zone that can't be reached keeps working while a node there answers in our
        // stead: its machines' silence counts from the end of the cut, or from the end of
        // the longest time for which a node may do so. (Counted from their last report,
        // the whole zone was returned the moment the cut ended.)
        let cut_off_zones = &leader.autoscaling.cut_off_zones;
        let cut_off = cut_off_zones.get(&machine.zone).copied().unwrap_or(0);
        let excused_until = cut_off.min(machine.last_confirmed_at + self.timing.leader_grace);
        let unheard_ms = self
            .now
            .saturating_sub(machine.last_confirmed_at.max(excused_until));
        // One that reports although nothing proves that it hears us is given its next report.
        let reports =
            self.now.saturating_sub(machine.last_heartbeat_at) <= self.timing.heartbeat_deadline;
        let patience_ms = match reports {
            true => self.timing.machine_timeout + self.timing.heartbeat_deadline,
            false => self.timing.machine_timeout,
        };
        unheard_ms > patience_ms
    }

    /// How long a machine may take to come up, ms.
    fn boot_patience(&self, machine: &Machine) -> Ms {
        let machine_type = self.machine_type(&machine.machine_type);
        let patience_ms = machine_type.map_or(0, |t| {
            (t.boot_ms as f64 * constants::BOOT_TIMEOUT_FACTOR) as u64
        });
        patience_ms.max(constants::MIN_BOOT_TIMEOUT_MS)
    }

    /// Whether a machine is idle for longer than the operators allow, no expected job would use it,
    /// and the least time that the cloud charges for is over.
    fn is_surplus(&self, leader: &Leader, machine: &Machine) -> bool {
        let idle_limit_ms = (self.settings.operator.idle_s * 1000.0) as u64;
        let idle_ms = self.now.saturating_sub(machine.idle_since);
        let held_ms = self.now.saturating_sub(machine.rented_at);
        machine.is_empty()
            && !leader.autoscaling.reserved.contains(&machine.id)
            && idle_ms > idle_limit_ms
            && held_ms > constants::MIN_CHARGED_MS
    }

    fn mark_returning(&mut self, machines: &[MachineId]) {
        let Some(leader) = self.leader_mut() else {
            return;
        };
        for id in machines {
            if let Some(machine) = leader.machines.get_mut(id) {
                machine.phase = MachinePhase::Returning;
            }
        }
    }

    /// Tasks on machines that will be reclaimed save while there is time.
    fn stop_tasks_before_reclaim(&mut self, tasks: Vec<(TaskId, Ms)>) {
        for (task, left_ms) in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let save_ms = (job.spec.checkpoint_grace_s() + 1) * 1000;
            if left_ms > save_ms + constants::SAFETY_MARGIN_MS || !job.is_open() {
                continue;
            }
            let placement = job.placements.get(&task.index);
            let stopping = placement.is_none_or(|p| p.stop_request.is_some());
            if !stopping {
                self.stop_task(&task);
            }
        }
    }
}
