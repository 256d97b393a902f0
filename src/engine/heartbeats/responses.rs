//! A leader's responses to heartbeats, with the starts and stops for the machine.

use crate::constants;
use crate::engine::Engine;
use crate::engine::messages::{Reply, ReplyId};
use crate::model::{
    FencingToken, HeartbeatSequence, MachineId, MachinePhase, PlacementStage, TaskId, Timestamp,
};
use crate::wire::worker::{HeartbeatResponse, WorkerCommand};

/// The pending response to a heartbeat that has been reconciled.
#[derive(Debug)]
pub(in crate::engine) struct PendingResponse {
    reply_id: ReplyId,
    machine: MachineId,
    sequence: HeartbeatSequence,
    /// Commands that result from the heartbeat itself.
    commands: Vec<WorkerCommand>,
    /// Time at which the heartbeat was received.
    received_at: Timestamp,
}

impl PendingResponse {
    /// Creates the pending response to a heartbeat.
    pub(super) fn new(
        reply_id: ReplyId,
        machine: MachineId,
        sequence: HeartbeatSequence,
        commands: Vec<WorkerCommand>,
        received_at: Timestamp,
    ) -> Self {
        PendingResponse {
            reply_id,
            machine,
            sequence,
            commands,
            received_at,
        }
    }
}

/// The responses that wait for the end of the step, for a round that is about to be planned, or for
/// one that is being written.
#[derive(Debug, Default)]
pub(in crate::engine) struct PendingResponses {
    responses: Vec<PendingResponse>,
}

impl PendingResponses {
    /// Adds a pending response.
    pub(super) fn add(&mut self, response: PendingResponse) {
        self.responses.push(response);
    }

    /// Reports whether a response to the machine is pending.
    pub(in crate::engine) fn has_response_for(&self, machine: &MachineId) -> bool {
        let mut responses = self.responses.iter();
        responses.any(|response| response.machine == *machine)
    }

    /// Removes all pending responses and returns them.
    fn take_all(&mut self) -> Vec<PendingResponse> {
        std::mem::take(&mut self.responses)
    }
}

impl Engine {
    /// Responds to heartbeats at the end of the step in which they were received, so that the
    /// response contains the commands that result from the step. While a round is about to be
    /// planned, or is being written with starts for the machine, the response is held back: usually
    /// for a few milliseconds, at most for [`constants::HEARTBEAT_HOLD_TIMEOUT`]. Otherwise the
    /// starts would wait seconds for the machine's next heartbeat.
    pub(in crate::engine) fn respond_to_pending_heartbeats(&mut self) {
        for mut pending in self.pending_responses.take_all() {
            let Some(leader) = self.leadership.leader() else {
                self.outbox.reply(pending.reply_id, Reply::Unavailable);
                continue;
            };
            let token = leader.fencing_token_for(&pending.machine, FencingToken::default());
            let hold_until = pending.received_at + constants::HEARTBEAT_HOLD_TIMEOUT;
            let can_wait = self.context.now() < hold_until;
            if can_wait
                && (self.is_scheduling_imminent() || self.has_planned_start_on(&pending.machine))
            {
                self.pending_responses.add(pending);
                continue;
            }
            let commands = self.start_and_stop_commands(&pending.machine, pending.sequence);
            pending.commands.extend(commands);
            let response = HeartbeatResponse {
                fencing_token: token.0,
                commands: pending.commands,
            };
            self.outbox
                .reply(pending.reply_id, Reply::HeartbeatAccepted(response));
        }
    }

    /// Reports whether the round that is being written starts a task on the machine.
    fn has_planned_start_on(&self, machine: &MachineId) -> bool {
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

    /// Returns the starts and stops to send to the machine.
    fn start_and_stop_commands(
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
                let needs_start = matches!(
                    placement.stage,
                    PlacementStage::Starting { .. } | PlacementStage::Restarting
                );
                needs_start || placement.stop_request.is_some()
            })
        };
        let tasks = machine.tasks.iter().filter(needs_command);
        let tasks: Vec<TaskId> = tasks.cloned().collect();
        tasks
            .iter()
            .flat_map(|task| match self.stop_command(task) {
                Some(stop) => vec![stop],
                None if may_start => self.start_commands(id, task, sequence),
                None => Vec::new(),
            })
            .collect()
    }

    /// Returns the stop command for a task whose stop was requested; `None` for any other task.
    fn stop_command(&self, task: &TaskId) -> Option<WorkerCommand> {
        let placement = self.jobs.placement(task)?;
        let stop = placement.stop_request?;
        Some(WorkerCommand::Stop {
            task: task.to_string(),
            attempt: placement.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// Returns the commands that start a task, and records that they are sent with the response to
    /// heartbeat `sequence`. Before a task is started again, the worker has to forget the exit of
    /// the same attempt.
    fn start_commands(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        sequence: HeartbeatSequence,
    ) -> Vec<WorkerCommand> {
        let job = self.jobs.get_mut(&task.job).filter(|job| job.is_open());
        let Some(placement) = job.and_then(|job| job.placements.get_mut(&task.index)) else {
            return Vec::new();
        };
        let start = WorkerCommand::Start {
            task: task.to_string(),
            attempt: placement.attempt,
        };
        match placement.stage {
            PlacementStage::Restarting => {
                placement.restarts += 1;
                tracing::debug!(%task, %machine, restarts = placement.restarts, "restart sent");
                let forget = WorkerCommand::Forget {
                    task: task.to_string(),
                    attempt: placement.attempt,
                };
                vec![forget, start]
            }
            // A start that an earlier leader may have sent is never sent again. Such a start is
            // marked with u32::MAX resends.
            PlacementStage::Starting { sent, resends } if resends != u32::MAX => {
                let resends = if sent.is_some() { resends + 1 } else { 0 };
                tracing::debug!(%task, %machine, resends, "start sent");
                placement.stage = PlacementStage::Starting {
                    sent: Some(sequence),
                    resends,
                };
                vec![start]
            }
            _ => Vec::new(),
        }
    }
}
