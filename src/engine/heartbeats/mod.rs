//! Workers' reports: checked against the model, and answered with orders.
//!
//! Starts travel only in responses to reports. A worker drops an answer that comes late, so a
//! start is either done before the worker's next report or never: a newer report that does not
//! name it proves that the task is not there. Stops are sent directly as well; a late one
//! cannot harm, since it names the attempt.
//!
//! The submodules have one job each: [`reconciliation`] compares a report with the model,
//! [`responses`] puts the orders together, [`follower`] serves reports for a leader that can't be
//! reached, [`failures`] finds out whether machine or job is at fault, [`removal`] takes tasks off
//! their machines, and [`direct_commands`] sends what can't wait for a report.

mod direct_commands;
mod failures;
mod follower;
mod reconciliation;
mod removal;
mod responses;

pub(super) use follower::Redirect;
pub(super) use responses::PendingResponse;

use super::{Engine, Reply, ReplyId};
use crate::model::{FencingToken, HeartbeatSequence, JobPhase, MachineId, TaskId};
use crate::wire::worker::{Heartbeat, HeartbeatResponse, Task, TaskState, WorkerCommand};

impl Engine {
    /// Takes in a worker's report. Whoever may not answer it says so at once; a leader's answer to
    /// a confirmed report is given at the end of the step.
    pub(super) fn on_heartbeat(&mut self, heartbeat: Heartbeat, to: ReplyId) {
        let Some(leader) = self.leader() else {
            let answer = self.answer_as_follower(&heartbeat);
            return self.reply(to, answer);
        };
        let seen = FencingToken(heartbeat.fencing_token);
        if seen.term() > leader.term {
            // The worker has seen a later leader.
            self.term_heard = self.term_heard.max(seen.term());
            self.step_down("a worker has seen a higher term");
            return self.reply(to, Reply::RedirectToLeader(None));
        }
        if !self.may_respond() {
            return self.reply(to, Reply::Unavailable);
        }
        let confirmed = seen.term() == leader.term;
        let machine = MachineId::from(&*heartbeat.machine);
        let token = leader.token_for(&machine, seen);
        let loaded = leader.recovery.is_none();
        // Before the records are read, or until the worker confirms the token, its lease is
        // renewed and it is told of cancellations, nothing else: an older token's starts may still
        // be on their way.
        if loaded && self.note_machine(&heartbeat, confirmed) && confirmed {
            let commands = self.reconcile(&heartbeat);
            let answer =
                PendingResponse::new(to, machine, sequence_of(&heartbeat), commands, self.now);
            self.pending_responses.push(answer);
        } else {
            let answer = Reply::HeartbeatAccepted(HeartbeatResponse {
                fencing_token: token.0,
                commands: self.stops_of_cancelled_jobs(&heartbeat),
            });
            self.reply(to, answer);
        }
    }

    /// Stops of the report's tasks whose jobs are cancelled. They go with every answer that renews
    /// a lease: leaders that end one after the other before they have read the records, when the
    /// state service is slow, would else keep alive for ever what nobody stops.
    fn stops_of_cancelled_jobs(&self, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let cancelled = |task: &&Task| {
            let id = TaskId::parse(&task.task);
            let job = id.and_then(|id| self.jobs.get(&id.job));
            task.state != TaskState::Exited && job.is_some_and(|j| j.phase == JobPhase::Cancelled)
        };
        heartbeat
            .tasks
            .iter()
            .filter(cancelled)
            .map(stop_at_once)
            .collect()
    }
}

/// The place of a report in the order of its machine's messages.
fn sequence_of(heartbeat: &Heartbeat) -> HeartbeatSequence {
    HeartbeatSequence {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    }
}

/// A stop without time to save, for a task that has no business on its machine.
fn stop_at_once(task: &Task) -> WorkerCommand {
    WorkerCommand::Stop {
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: 0,
    }
}
