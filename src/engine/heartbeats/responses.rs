//! Answers of a leader to confirmed reports, with the starts and stops for the machine.

use crate::constants;
use crate::engine::{Engine, Reply, ReplyId};
use crate::model::{
    FencingToken, HeartbeatSequence, MachineId, MachinePhase, Ms, PlacementStage, TaskId,
};
use crate::wire::worker::{HeartbeatResponse, WorkerCommand};

/// A report that has been worked through and waits for its answer.
#[derive(Debug)]
pub(in crate::engine) struct PendingResponse {
    to: ReplyId,
    machine: MachineId,
    heartbeat_sequence: HeartbeatSequence,
    /// Orders that follow from the report itself.
    commands: Vec<WorkerCommand>,
    /// When the report came in, ms.
    received_at: Ms,
}

impl PendingResponse {
    pub(super) fn new(
        to: ReplyId,
        machine: MachineId,
        heartbeat_sequence: HeartbeatSequence,
        commands: Vec<WorkerCommand>,
        received_at: Ms,
    ) -> Self {
        PendingResponse {
            to,
            machine,
            heartbeat_sequence,
            commands,
            received_at,
        }
    }

    pub(super) fn is_for(&self, machine: &MachineId) -> bool {
        self.machine == *machine
    }
}

impl Engine {
    /// Answers reports at the end of the step that they came in, so that what the step decided
    /// goes with the answer. While a round is about to be planned, or is being written with starts
    /// for the machine, the answer waits for it (some ms): else the starts would wait for the
    /// machine's next report, seconds later. (Each new machine of a day's start lost one report's
    /// interval so: it came up while another round was being written.)
    pub(in crate::engine) fn respond_to_pending_heartbeats(&mut self) {
        for mut pending in std::mem::take(&mut self.pending_responses) {
            let Some(leader) = self.leader() else {
                self.reply(pending.to, Reply::Unavailable);
                continue;
            };
            let token = leader
                .token_for(&pending.machine, FencingToken::default())
                .0;
            let may_wait = self.now < pending.received_at + constants::HEARTBEAT_HOLD_MS;
            if may_wait && (self.is_scheduling_imminent() || self.is_planned_on(&pending.machine)) {
                self.pending_responses.push(pending);
                continue;
            }
            let commands = self.pending_commands(&pending.machine, pending.heartbeat_sequence);
            pending.commands.extend(commands);
            let commands = pending.commands;
            self.reply(
                pending.to,
                Reply::HeartbeatAccepted(HeartbeatResponse {
                    fencing_token: token,
                    commands,
                }),
            );
        }
    }

    /// Whether the round that is being written has a start on the machine.
    fn is_planned_on(&self, machine: &MachineId) -> bool {
        let writing = self.leader().filter(|leader| leader.rounds.is_writing());
        let Some(machine) = writing.and_then(|leader| leader.machines.get(machine)) else {
            return false;
        };
        machine.tasks.iter().any(|task| {
            let placement = self.placement(task);
            placement.is_some_and(|p| p.stage == PlacementStage::Planned)
        })
    }

    /// Starts and stops that this machine has to be told.
    fn pending_commands(
        &mut self,
        id: &MachineId,
        heartbeat_sequence: HeartbeatSequence,
    ) -> Vec<WorkerCommand> {
        let lease_valid = self.holds_valid_lease();
        let Some(machine) = self.leader().and_then(|l| l.machines.get(id)) else {
            return Vec::new();
        };
        let may_start = lease_valid && machine.phase == MachinePhase::Up && machine.responsive;
        let has_command = |task: &&TaskId| {
            self.placement(task).is_some_and(|placement| {
                placement.stop_request.is_some()
                    || matches!(placement.stage, PlacementStage::Starting { .. })
            })
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().filter(has_command).cloned().collect();
        tasks
            .iter()
            .filter_map(|task| match self.stop_command(task) {
                Some(stop) => Some(stop),
                None if may_start => self.start_command(id, task, heartbeat_sequence),
                None => None,
            })
            .collect()
    }

    /// The stop of a task that is being stopped.
    fn stop_command(&self, task: &TaskId) -> Option<WorkerCommand> {
        let placement = self.placement(task)?;
        let stop = placement.stop_request?;
        Some(WorkerCommand::Stop {
            task: task.to_string(),
            attempt: placement.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// The start of a task that is not on its machine yet; notes that it was sent.
    fn start_command(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        heartbeat_sequence: HeartbeatSequence,
    ) -> Option<WorkerCommand> {
        let job = self.jobs.get_mut(&task.job).filter(|job| job.is_open())?;
        let placement = job.placements.get_mut(&task.index)?;
        let PlacementStage::Starting { sent, resends } = placement.stage else {
            return None;
        };
        // A start that an earlier leader may have sent is never sent again.
        if resends == u32::MAX {
            return None;
        }
        let resends = if sent.is_some() { resends + 1 } else { 0 };
        placement.stage = PlacementStage::Starting {
            sent: Some(heartbeat_sequence),
            resends,
        };
        tracing::debug!(%task, %machine, resends, "start sent");
        Some(WorkerCommand::Start {
            task: task.to_string(),
            attempt: placement.attempt,
        })
    }
}
