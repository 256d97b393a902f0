//! Workers' heartbeats, which are reconciled with the model and answered with commands.
//!
//! Starts are sent only in responses to heartbeats. A worker drops a late response, so it executes
//! a start before its next heartbeat or not at all: a newer heartbeat that does not list the task
//! proves that the task is not on the machine. Stops are also sent directly. A late stop is
//! harmless, because it names the attempt that it applies to.
//!
//! [`machine_status`] records the status of the machine, [`reconciliation`] compares the reported
//! tasks with the model, [`exits`] handles tasks that have exited, [`responses`] assembles the
//! commands, [`follower`] serves heartbeats on a follower, [`redirects`] remembers which workers a
//! follower has redirected or served, and [`failures`] decides whether a failed task is due to its
//! machine or to its job.

mod exits;
mod failures;
mod follower;
mod machine_status;
mod reconciliation;
mod redirects;
mod responses;

pub(super) use redirects::Redirects;
pub(super) use responses::PendingResponses;

use super::Engine;
use super::leadership::StepDownReason;
use super::messages::{Reply, ReplyId};
use crate::model::{FencingToken, HeartbeatSequence, JobPhase, MachineId, TaskId};
use crate::wire::worker::{Heartbeat, HeartbeatResponse, Task, TaskState, WorkerCommand};
use responses::PendingResponse;

/// Whether a worker has seen this leader's term. Until it has, commands of an earlier leader may
/// still be in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermConfirmation {
    Confirmed,
    Unconfirmed,
}

impl Engine {
    /// Handles a worker's heartbeat. If this node leads, has recovered, and reconciles the
    /// heartbeat, the response is sent at the end of the step or later. Every other reply is sent
    /// immediately.
    pub(super) fn on_heartbeat(&mut self, heartbeat: &Heartbeat, reply_id: ReplyId) {
        let Some(leader) = self.leadership.leader() else {
            let reply = self.respond_as_follower(heartbeat);
            return self.outbox.reply(reply_id, reply);
        };
        let worker_token = FencingToken(heartbeat.fencing_token);
        if worker_token.term() > leader.term() {
            // The worker has seen a leader of a higher term.
            self.leadership.observe_term(worker_token.term());
            self.step_down(StepDownReason::WorkerHasHigherTerm);
            return self.outbox.reply(reply_id, Reply::RedirectToLeader(None));
        }
        if !self.may_respond_as_leader() {
            return self.outbox.reply(reply_id, Reply::Unavailable);
        }
        let confirmation = match worker_token.term() == leader.term() {
            true => TermConfirmation::Confirmed,
            false => TermConfirmation::Unconfirmed,
        };
        let machine = MachineId::from(&*heartbeat.machine);
        let fencing_token = leader.fencing_token_for(&machine, worker_token).0;
        let has_recovered = leader.has_recovered();
        // Until recovery is complete and the worker has confirmed the term, the response only
        // renews the worker's lease and stops the tasks of cancelled jobs.
        if has_recovered
            && self.record_machine_status(heartbeat, confirmation)
            && confirmation == TermConfirmation::Confirmed
        {
            let commands = self.reconcile(heartbeat);
            let sequence = sequence_of(heartbeat);
            let now = self.context.now();
            self.pending_responses.add(PendingResponse::new(
                reply_id, machine, sequence, commands, now,
            ));
        } else {
            let response = HeartbeatResponse {
                fencing_token,
                commands: self.stops_of_cancelled_jobs(heartbeat),
            };
            self.outbox
                .reply(reply_id, Reply::HeartbeatAccepted(response));
        }
    }

    /// Returns stops for the reported tasks whose jobs are cancelled. Every response that renews a
    /// lease carries them. Otherwise, if the state service is slow and leaders step down one after
    /// another before they have recovered, they would keep renewing the worker's lease while its
    /// cancelled tasks are never stopped.
    fn stops_of_cancelled_jobs(&self, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let is_cancelled = |task: &&Task| {
            let id = TaskId::parse(&task.task);
            let job = id.and_then(|id| self.jobs.get(&id.job));
            task.state != TaskState::Exited
                && job.is_some_and(|job| job.phase == JobPhase::Cancelled)
        };
        let cancelled = heartbeat.tasks.iter().filter(is_cancelled);
        cancelled.map(stop_at_once).collect()
    }
}

/// Returns the sequence number of a heartbeat, which orders the messages of its machine.
fn sequence_of(heartbeat: &Heartbeat) -> HeartbeatSequence {
    HeartbeatSequence {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    }
}

/// Returns a stop without time for a checkpoint, for a task that must not run on its machine.
fn stop_at_once(task: &Task) -> WorkerCommand {
    WorkerCommand::Stop {
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: 0,
    }
}
