//! A leader's responses to heartbeats, with the starts and stops for the machine.

use crate::constants;
use crate::engine::Engine;
use crate::engine::messages::{Reply, ReplyId};
use crate::model::{
    FencingToken, HeartbeatSequence, MachineId, MachinePhase, Placement, PlacementStage, TaskId,
    Timestamp,
};
use crate::wire::worker::{HeartbeatResponse, WorkerCommand};

/// A heartbeat that has been reconciled and waits for its response.
#[derive(Debug)]
pub(in crate::engine) struct PendingResponse {
    to: ReplyId,
    machine: MachineId,
    sequence: HeartbeatSequence,
    /// Commands that follow from the heartbeat itself.
    commands: Vec<WorkerCommand>,
    /// When the heartbeat came in.
    received_at: Timestamp,
}

impl PendingResponse {
    pub(super) fn new(
        to: ReplyId,
        machine: MachineId,
        sequence: HeartbeatSequence,
        commands: Vec<WorkerCommand>,
        received_at: Timestamp,
    ) -> Self {
        PendingResponse {
            to,
            machine,
            sequence,
            commands,
            received_at,
        }
    }
}

/// Responses that wait for the end of the step, or for a round that is being written.
#[derive(Debug, Default)]
pub(in crate::engine) struct PendingResponses {
    responses: Vec<PendingResponse>,
}

impl PendingResponses {
    /// Adds a response.
    pub(super) fn add(&mut self, response: PendingResponse) {
        self.responses.push(response);
    }

    /// Whether a response to the machine waits.
    pub(in crate::engine) fn has_response_for(&self, machine: &MachineId) -> bool {
        let mut responses = self.responses.iter();
        responses.any(|response| response.machine == *machine)
    }

    /// Takes all responses out.
    fn take(&mut self) -> Vec<PendingResponse> {
        std::mem::take(&mut self.responses)
    }
}

impl Engine {
    /// Responds to heartbeats at the end of the step in which they came, so that what the step
    /// decided goes with the response. While a round is about to be planned, or is being written
    /// with starts for the machine, the response waits for it (some ms): else the starts would wait
    /// for the machine's next heartbeat, seconds later.
    pub(in crate::engine) fn respond_to_pending_heartbeats(&mut self) {
        for mut pending in self.pending_responses.take() {
            let Some(leader) = self.leadership.leader() else {
                self.outbox.reply(pending.to, Reply::Unavailable);
                continue;
            };
            let token = leader.fencing_token_for(&pending.machine, FencingToken::default());
            let hold_until = pending.received_at + constants::HEARTBEAT_HOLD_TIMEOUT;
            let may_wait = self.context.now() < hold_until;
            if may_wait && (self.is_scheduling_imminent() || self.is_planned_on(&pending.machine)) {
                self.pending_responses.add(pending);
                continue;
            }
            let commands = self.starts_and_stops(&pending.machine, pending.sequence);
            pending.commands.extend(commands);
            let response = HeartbeatResponse {
                fencing_token: token.0,
                commands: pending.commands,
            };
            self.outbox
                .reply(pending.to, Reply::HeartbeatAccepted(response));
        }
    }

    /// Whether the round that is being written has a start on the machine.
    fn is_planned_on(&self, machine: &MachineId) -> bool {
        let leader = self.leadership.leader();
        let writing = leader.filter(|leader| leader.rounds.is_writing());
        let Some(machine) = writing.and_then(|leader| leader.machines.get(machine)) else {
            return false;
        };
        machine.tasks.iter().any(|task| {
            let placement = self.jobs.placement(task);
            placement.is_some_and(|placement| placement.stage == PlacementStage::Planned)
        })
    }

    /// Starts and stops that this machine has to be told.
    fn starts_and_stops(
        &mut self,
        id: &MachineId,
        sequence: HeartbeatSequence,
    ) -> Vec<WorkerCommand> {
        let lease_valid = self.holds_valid_lease();
        let leader = self.leadership.leader();
        let Some(machine) = leader.and_then(|leader| leader.machines.get(id)) else {
            return Vec::new();
        };
        let may_start = lease_valid && machine.phase == MachinePhase::Up && machine.responsive;
        let needs_command = |task: &&TaskId| {
            let placement = self.jobs.placement(task);
            placement.is_some_and(|placement| {
                let starting = matches!(placement.stage, PlacementStage::Starting { .. });
                starting || placement.stop_request.is_some()
            })
        };
        let tasks = machine.tasks.iter().filter(needs_command);
        let tasks: Vec<TaskId> = tasks.cloned().collect();
        tasks
            .iter()
            .filter_map(|task| match self.stop_command(task) {
                Some(stop) => Some(stop),
                None if may_start => self.start_command(id, task, sequence),
                None => None,
            })
            .collect()
    }

    /// The stop of a task that is being stopped.
    fn stop_command(&self, task: &TaskId) -> Option<WorkerCommand> {
        let placement = self.jobs.placement(task)?;
        let stop = placement.stop_request?;
        Some(WorkerCommand::Stop {
            task: task.to_string(),
            attempt: placement.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// The start of a task that is not on its machine yet; records that it is sent.
    fn start_command(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        sequence: HeartbeatSequence,
    ) -> Option<WorkerCommand> {
        let job = self.jobs.get_mut(&task.job).filter(|job| job.is_open())?;
        let placement: &mut Placement = job.placements.get_mut(&task.index)?;
        let PlacementStage::Starting { sent, resends } = placement.stage else {
            return None;
        };
        // A start that an earlier leader may have sent is never sent again.
        if resends == u32::MAX {
            return None;
        }
        let resends = if sent.is_some() { resends + 1 } else { 0 };
        placement.stage = PlacementStage::Starting {
            sent: Some(sequence),
            resends,
        };
        tracing::debug!(%task, %machine, resends, "start sent");
        Some(WorkerCommand::Start {
            task: task.to_string(),
            attempt: placement.attempt,
        })
    }
}
