//! Housekeeping: a periodic pass over the fleet that decides which machines are returned, and which
//! tasks are stopped to write a checkpoint because their machine will be preempted.

use super::Autoscaling;
use crate::constants;
use crate::engine::Engine;
use crate::engine::leadership::StepDownReason;
use crate::model::{Machine, MachineId, MachinePhase, TaskId, Timestamp};
use std::time::Duration;

/// The result of a pass over the machines.
#[derive(Debug, Default)]
struct Inspection {
    /// The machines to return.
    to_return: Vec<MachineId>,
    /// The tasks on machines that the cloud will preempt.
    preempted: Vec<PreemptedTask>,
}

/// A task on a machine that the cloud will preempt.
#[derive(Debug)]
struct PreemptedTask {
    task: TaskId,
    /// Time until the preemption.
    time_left: Duration,
}

impl Autoscaling {
    /// Begins a housekeeping pass if one is due. Returns whether it began one.
    fn begin_housekeeping_if_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.next_housekeeping_at;
        if due {
            self.next_housekeeping_at = now + constants::HOUSEKEEPING_INTERVAL;
        }
        due
    }
}

impl Engine {
    /// Runs a housekeeping pass if one is due: returns machines for any of the reasons in
    /// [`ReturnReason`](super::return_reason::ReturnReason) and stops tasks on machines that are
    /// about to be preempted. If most machines are silent, the leader steps down instead.
    pub(in crate::engine) fn housekeep_machines_when_due(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if !leader.autoscaling.begin_housekeeping_if_due(now) {
            return;
        }
        self.record_cut_off_zones();
        if self.has_lost_contact_with_workers() {
            self.step_down(StepDownReason::WorkersUnreachable);
            let until = now + constants::CAMPAIGN_PAUSE_AFTER_STEP_DOWN;
            return self.leadership.postpone_campaign(until);
        }
        let inspection = self.inspect_machines();
        self.mark_returning(&inspection.to_return);
        self.scale_in();
        self.stop_preempted_tasks(inspection.preempted);
    }

    /// Records the current time for each zone from which this node is cut off.
    fn record_cut_off_zones(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        for zone in &self.context.settings().cluster.zones {
            if self.peers.is_zone_unreachable(zone, now) {
                let zones = &mut leader.autoscaling.cut_off_zones;
                zones.insert(zone.as_str().into(), now);
            }
        }
    }

    /// Reports whether most machines that are up have fallen silent together. The cause is then more
    /// likely a fault of this node or its network than of the machines, and another node may be on
    /// the machines' side of a network partition.
    fn has_lost_contact_with_workers(&self) -> bool {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader() else {
            return false;
        };
        let two_heartbeats = 2 * self.context.timing().heartbeat_interval;
        let silence_limit = two_heartbeats + constants::SAFETY_MARGIN;
        let is_up = |machine: &&Machine| machine.phase == MachinePhase::Up;
        let (mut up, mut confirmed_recently) = (0, 0);
        for machine in leader.machines.values().filter(is_up) {
            up += 1;
            if now.saturating_since(machine.last_confirmed_at) <= silence_limit {
                confirmed_recently += 1;
            }
        }
        up >= 2 && confirmed_recently * 2 < up
    }

    /// Finds the machines to return and the tasks on machines that will be preempted.
    fn inspect_machines(&self) -> Inspection {
        let now = self.context.now();
        let mut inspection = Inspection::default();
        let Some(leader) = self.leadership.leader() else {
            return inspection;
        };
        for machine in leader.machines.values() {
            if let Some(reason) = self.reason_to_return(leader, machine) {
                tracing::info!(machine = %machine.id, %reason, "returning machine");
                inspection.to_return.push(machine.id.clone());
            }
            if let Some(preemption_at) = machine.preemption_at {
                let time_left = preemption_at.saturating_since(now);
                let tasks = machine.tasks.iter().map(|task| PreemptedTask {
                    task: task.clone(),
                    time_left,
                });
                inspection.preempted.extend(tasks);
            }
        }
        inspection
    }

    /// Marks the machines as returning.
    fn mark_returning(&mut self, machines: &[MachineId]) {
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        for id in machines {
            if let Some(machine) = leader.machines.get_mut(id) {
                machine.phase = MachinePhase::Returning;
            }
        }
    }

    /// Stops each task on a machine that will be preempted, once the remaining time is just enough to
    /// write a checkpoint.
    fn stop_preempted_tasks(&mut self, preempted: Vec<PreemptedTask>) {
        for PreemptedTask { task, time_left } in preempted {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let checkpoint_time = Duration::from_secs(job.spec.checkpoint_grace_s() + 1);
            if time_left > checkpoint_time + constants::SAFETY_MARGIN || !job.is_open() {
                continue;
            }
            let placement = job.placements.get(&task.index);
            let needs_stop = placement.is_some_and(|placement| placement.stop_request.is_none());
            if needs_stop {
                self.stop_task(&task);
            }
        }
    }
}
