//! Workers' heartbeats: reconciled with the model, and answered with commands.
//!
//! Starts travel only in responses to heartbeats. A worker drops a response that comes late, so a
//! start is either executed before the worker's next heartbeat or never: a newer heartbeat that
//! does not name it proves that the task is not there. Stops are sent directly as well; a late one
//! cannot harm, since it names the attempt.
//!
//! [`machine_status`] records what a heartbeat says of its machine, [`reconciliation`] compares its
//! tasks with the model, [`exits`] handles tasks that have exited, [`responses`] puts the commands
//! together, [`follower`] serves heartbeats on a node that does not lead, and [`failures`] finds out
//! whether machine or job is at fault.

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

/// Whether a worker has seen this leader's term. Until then commands of an earlier leader may
/// still be on their way to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermConfirmation {
    Confirmed,
    Unconfirmed,
}

impl Engine {
    /// Handles a worker's heartbeat. A node that may not respond says so at once; a leader's
    /// response to a heartbeat that confirms its term is given at the end of the step.
    pub(super) fn on_heartbeat(&mut self, heartbeat: &Heartbeat, to: ReplyId) {
        let Some(leader) = self.leadership.leader() else {
            let reply = self.respond_as_follower(heartbeat);
            return self.outbox.reply(to, reply);
        };
        let seen = FencingToken(heartbeat.fencing_token);
        if seen.term() > leader.term() {
            // The worker has seen a later leader.
            self.leadership.observe_term(seen.term());
            self.step_down(StepDownReason::WorkerHasHigherTerm);
            return self.outbox.reply(to, Reply::RedirectToLeader(None));
        }
        if !self.may_respond_as_leader() {
            return self.outbox.reply(to, Reply::Unavailable);
        }
        let confirmation = match seen.term() == leader.term() {
            true => TermConfirmation::Confirmed,
            false => TermConfirmation::Unconfirmed,
        };
        let machine = MachineId::from(&*heartbeat.machine);
        let fencing_token = leader.fencing_token_for(&machine, seen).0;
        let recovered = leader.has_recovered();
        // Before the records are read, or until the worker confirms the term, its lease is renewed
        // and it is told of cancellations, nothing else.
        if recovered
            && self.record_machine_status(heartbeat, confirmation)
            && confirmation == TermConfirmation::Confirmed
        {
            let commands = self.reconcile(heartbeat);
            let sequence = sequence_of(heartbeat);
            let now = self.context.now();
            self.pending_responses
                .add(PendingResponse::new(to, machine, sequence, commands, now));
        } else {
            let response = HeartbeatResponse {
                fencing_token,
                commands: self.stops_of_cancelled_jobs(heartbeat),
            };
            self.outbox.reply(to, Reply::HeartbeatAccepted(response));
        }
    }

    /// Stops of the heartbeat's tasks whose jobs are cancelled. They go with every response that
    /// renews a lease: leaders that end one after the other before they have recovered, when the
    /// state service is slow, would else keep alive for ever what nobody stops.
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

/// The place of a heartbeat in the order of its machine's messages.
fn sequence_of(heartbeat: &Heartbeat) -> HeartbeatSequence {
    HeartbeatSequence {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    }
}

/// A stop without time for a checkpoint, for a task that must not be on its machine.
fn stop_at_once(task: &Task) -> WorkerCommand {
    WorkerCommand::Stop {
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: 0,
    }
}
