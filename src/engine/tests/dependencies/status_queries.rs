//! Status queries about a blocked job, answered from the records and the engine's reply as in the
//! API.

use super::super::simulated_cluster::{Millis, SimulatedCluster};
use crate::engine::{Reply, ReplyId};
use crate::wire::user::JobState;

/// The job in the production version's records: a gang of two tasks.
pub(super) const ROOT: &str = "run-7";
/// The job that depends on the root and is cancelled with it.
pub(super) const MIDDLE: &str = "run-8";
/// The job that depends on the root through the middle job, and about which the nodes are queried.
pub(super) const LEAF: &str = "run-9";

/// Interval at which pending queries are checked for replies.
const POLL_INTERVAL: Millis = 5;

/// The answer to a user's status query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum StatusAnswer {
    /// 404: the job was never accepted.
    NeverAccepted,
    /// 503, sent before the user's timeout: the state can't be determined.
    Unavailable,
    /// The job's state.
    State(JobState),
}

/// The answer for a cancelled job.
pub(super) const CANCELLED: StatusAnswer = StatusAnswer::State(JobState::Cancelled);

/// A query that has been answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnsweredQuery {
    node: usize,
    asked_at: Millis,
    answered_at: Millis,
    /// The answer that the user received.
    pub(super) answer: StatusAnswer,
}

/// A query whose answer depends on a reply of the engine that is still to come.
#[derive(Debug)]
struct PendingQuery {
    node: usize,
    asked_at: Millis,
    reply: ReplyId,
}

impl PendingQuery {
    fn with_answer(&self, answer: StatusAnswer, now: Millis) -> AnsweredQuery {
        AnsweredQuery {
            node: self.node,
            asked_at: self.asked_at,
            answered_at: now,
            answer,
        }
    }
}

/// The times at which the events that decide about the queried job became durable.
#[derive(Debug, Default)]
pub(super) struct EventTimes {
    /// The submission of the dependents.
    pub(super) submitted: Option<Millis>,
    /// The root's cancellation.
    pub(super) cancelled: Option<Millis>,
}

/// The queries to nodes about [`LEAF`].
#[derive(Debug, Default)]
pub(super) struct StatusQueries {
    pending: Vec<PendingQuery>,
    /// Answered queries in the order of their answers.
    pub(super) answered: Vec<AnsweredQuery>,
}

impl StatusQueries {
    /// Sends a query to a node.
    pub(super) fn ask(&mut self, cluster: &mut SimulatedCluster, node: usize) {
        let asked_at = cluster.now;
        match state_from_records(cluster) {
            Some(answer) => self.answered.push(AnsweredQuery {
                node,
                asked_at,
                answered_at: asked_at,
                answer,
            }),
            None => self.pending.push(PendingQuery {
                node,
                asked_at,
                reply: cluster.request_blocked_job_state(node, LEAF),
            }),
        }
    }

    /// Runs the cluster for that time, and collects the replies that arrive.
    pub(super) fn run(&mut self, cluster: &mut SimulatedCluster, duration: Millis) {
        let end = cluster.now + duration;
        loop {
            self.collect_replies(cluster);
            if cluster.now >= end {
                return;
            }
            cluster.run(POLL_INTERVAL.min(end - cluster.now));
        }
    }

    fn collect_replies(&mut self, cluster: &mut SimulatedCluster) {
        let answered = &mut self.answered;
        self.pending.retain(|query| {
            let Some(reply) = cluster.take_reply(query.reply) else {
                return true;
            };
            let answer = answer_from_reply(&reply, cluster);
            answered.push(query.with_answer(answer, cluster.now));
            false
        });
    }

    /// Sends queries to both nodes several times, with a pause after each time.
    pub(super) fn ask_repeatedly(
        &mut self,
        cluster: &mut SimulatedCluster,
        nodes: [usize; 2],
        times: usize,
        pause: Millis,
    ) {
        for _ in 0..times {
            for node in nodes {
                self.ask(cluster, node);
            }
            self.run(cluster, pause);
        }
    }

    /// Asserts that no answer contradicts what was durable before its query, or an earlier answer.
    pub(super) fn check(&self, times: &EventTimes, context: &str) {
        for query in &self.answered {
            query.check_times(times, context);
            let answered = self.answered.iter();
            for earlier in answered.filter(|earlier| earlier.answered_at <= query.asked_at) {
                let reverted = earlier.answer == CANCELLED && query.answer != CANCELLED;
                assert!(
                    query.is_unavailable() || !reverted,
                    "{context}: no longer cancelled, {query:?} after {earlier:?}"
                );
            }
        }
    }
}

impl AnsweredQuery {
    fn is_unavailable(&self) -> bool {
        self.answer == StatusAnswer::Unavailable
    }

    /// Asserts that the answer is consistent with what was durable when the node was queried.
    fn check_times(&self, times: &EventTimes, context: &str) {
        let after = |time: Option<Millis>| time.is_some_and(|time| self.asked_at > time);
        if after(times.submitted) {
            assert_ne!(
                self.answer,
                StatusAnswer::NeverAccepted,
                "{context}: {self:?}"
            );
        }
        if after(times.cancelled) && after(times.submitted) {
            let consistent = self.is_unavailable() || self.answer == CANCELLED;
            let (node, cancelled) = (self.node, times.cancelled);
            assert!(
                consistent,
                "{context}: not cancelled at n{node}, {self:?} after {cancelled:?}"
            );
        }
        if times.cancelled.is_none() {
            assert_ne!(self.answer, CANCELLED, "{context}: {self:?}");
        }
    }
}

fn answer_from_reply(reply: &Reply, cluster: &SimulatedCluster) -> StatusAnswer {
    match reply {
        Reply::BlockedJobState(Some(state)) => StatusAnswer::State(*state),
        Reply::BlockedJobState(None) => {
            state_from_records(cluster).unwrap_or(StatusAnswer::Unavailable)
        }
        _ => StatusAnswer::Unavailable,
    }
}

/// Returns the answer that the records alone determine, or `None` if the engine has to be asked.
fn state_from_records(cluster: &SimulatedCluster) -> Option<StatusAnswer> {
    let Some(record) = cluster.live_record(LEAF) else {
        let state = cluster.final_state(LEAF);
        return Some(state.map_or(StatusAnswer::NeverAccepted, StatusAnswer::State));
    };
    if record.cancelled {
        Some(CANCELLED)
    } else if record.is_blocked() {
        None
    } else if cluster.running_tasks(LEAF) > 0 {
        Some(StatusAnswer::State(JobState::Running))
    } else {
        Some(StatusAnswer::State(JobState::Queued))
    }
}
