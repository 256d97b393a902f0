//! Workers' reports: checked against the model, and answered with orders.
//!
//! Starts travel only in answers to reports. A worker drops an answer that comes late, so a
//! start is either done before the worker's next report or never: a newer report that does not
//! name it proves that the task is not there. Stops are sent directly as well; a late one
//! cannot harm, since it names the attempt.
//!
//! The submodules have one job each: [`reconciliation`] compares a report with the model,
//! [`answers`] puts the orders together, [`follower`] serves reports for a leader that can't be
//! reached, [`failures`] finds out whether machine or job is at fault, [`removal`] takes tasks off
//! their machines, and [`direct_orders`] sends what can't wait for a report.

mod answers;
mod direct_orders;
mod failures;
mod follower;
mod reconciliation;
mod removal;

pub(super) use answers::PendingAnswer;
pub(super) use follower::Redirect;

use super::{Engine, Reply, ReplyId};
use crate::model::{MachineId, Phase, SeqNo, TaskId, Token};
use crate::wire::worker::{Order, Orders, Report, Task, TaskState};

impl Engine {
    /// Takes in a worker's report. Whoever may not answer it says so at once; a leader's answer to
    /// a confirmed report is given at the end of the step.
    pub(super) fn on_report(&mut self, report: Report, to: ReplyId) {
        let Some(leader) = self.leader() else {
            let answer = self.answer_as_follower(&report);
            return self.reply(to, answer);
        };
        let seen = Token(report.token);
        if seen.term() > leader.term {
            // The worker has seen a later leader.
            self.term_heard = self.term_heard.max(seen.term());
            self.step_down("a worker has seen a higher term");
            return self.reply(to, Reply::Elsewhere(None));
        }
        if !self.may_answer() {
            return self.reply(to, Reply::Unavailable);
        }
        let confirmed = seen.term() == leader.term;
        let machine = MachineId::from(&*report.machine);
        let token = leader.token_for(&machine, seen);
        let loaded = leader.loading.is_none();
        // Before the records are read, or until the worker confirms the token, its lease is
        // renewed and it is told of cancellations, nothing else: an older token's starts may still
        // be on their way.
        if loaded && self.note_machine(&report, confirmed) && confirmed {
            let orders = self.reconcile(&report);
            let answer = PendingAnswer::new(to, machine, seq_no_of(&report), orders, self.now);
            self.pending_answers.push(answer);
        } else {
            let answer = Reply::Orders(Orders {
                token: token.0,
                orders: self.stops_of_cancelled(&report),
            });
            self.reply(to, answer);
        }
    }

    /// Stops of the report's tasks whose jobs are cancelled. They go with every answer that renews
    /// a lease: leaders that end one after the other before they have read the records, when the
    /// state service is slow, would else keep alive for ever what nobody stops.
    fn stops_of_cancelled(&self, report: &Report) -> Vec<Order> {
        let cancelled = |task: &&Task| {
            let id = TaskId::parse(&task.task);
            let job = id.and_then(|id| self.jobs.get(&id.job));
            task.state != TaskState::Exited && job.is_some_and(|j| j.phase == Phase::Cancelled)
        };
        report
            .tasks
            .iter()
            .filter(cancelled)
            .map(stop_at_once)
            .collect()
    }
}

/// The place of a report in the order of its machine's messages.
fn seq_no_of(report: &Report) -> SeqNo {
    SeqNo {
        session: report.session,
        seq: report.seq,
    }
}

/// A stop without time to save, for a task that has no business on its machine.
fn stop_at_once(task: &Task) -> Order {
    Order::Stop {
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: 0,
    }
}
