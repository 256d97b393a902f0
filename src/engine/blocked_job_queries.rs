//! Users' questions about blocked jobs, which are answered by news from the state service that is
//! newer than the question.

use super::messages::{Reply, ReplyId};
use crate::constants;
use crate::model::{JobId, Timestamp};

/// A question that waits for newer news.
#[derive(Debug)]
struct PendingQuery {
    job: JobId,
    reply: ReplyId,
    asked_at: Timestamp,
    /// Refreshes that were begun before it; the next one makes it answerable.
    earlier_refreshes: u64,
}

/// The questions that wait, and the refreshes that make them answerable.
#[derive(Debug, Default)]
pub(super) struct BlockedJobQueries {
    pending: Vec<PendingQuery>,
    completed_refreshes: u64,
    refresh_in_flight: bool,
    next_refresh_at: Timestamp,
}

/// Which questions are given up if they can't be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GiveUp {
    /// None.
    Never,
    /// Those that have waited for too long.
    Expired,
    /// All.
    Always,
}

impl BlockedJobQueries {
    /// Adds a question; false if there are too many.
    pub(super) fn add(&mut self, job: JobId, reply: ReplyId, now: Timestamp) -> bool {
        if self.pending.len() >= constants::MAX_USER_CALLS {
            return false;
        }
        self.pending.push(PendingQuery {
            job,
            reply,
            asked_at: now,
            earlier_refreshes: self.completed_refreshes + u64::from(self.refresh_in_flight),
        });
        true
    }

    /// Whether a refresh is to be begun now.
    pub(super) fn needs_refresh(&self, now: Timestamp) -> bool {
        let waits = |query: &PendingQuery| !self.is_fresh(query);
        self.pending.iter().any(waits) && !self.refresh_in_flight && now >= self.next_refresh_at
    }

    /// A refresh is begun.
    pub(super) fn begin_refresh(&mut self, now: Timestamp) {
        self.refresh_in_flight = true;
        self.next_refresh_at = now + constants::BLOCKED_JOB_REFRESH_INTERVAL;
    }

    /// The refresh in flight has ended.
    pub(super) fn end_refresh(&mut self) {
        self.refresh_in_flight = false;
    }

    /// The refresh brought news: questions from before it can be answered.
    pub(super) fn complete_refresh(&mut self) {
        self.completed_refreshes += 1;
    }

    /// Replies to the questions that can be answered or are given up. `answer` tells what is known
    /// of a job by now, if anything.
    pub(super) fn take_replies(
        &mut self,
        answer: impl Fn(&JobId) -> Option<Reply>,
        give_up: GiveUp,
        now: Timestamp,
    ) -> Vec<(ReplyId, Reply)> {
        let mut replies = Vec::new();
        for query in std::mem::take(&mut self.pending) {
            let fresh = self.is_fresh(&query);
            let known = if fresh { answer(&query.job) } else { None };
            match known {
                Some(reply) => replies.push((query.reply, reply)),
                None if query.is_given_up(give_up, now) => {
                    replies.push((query.reply, Reply::Unavailable));
                }
                None => self.pending.push(query),
            }
        }
        replies
    }

    /// Whether a refresh that was begun after the question has completed.
    fn is_fresh(&self, query: &PendingQuery) -> bool {
        query.earlier_refreshes < self.completed_refreshes
    }
}

impl PendingQuery {
    fn is_given_up(&self, give_up: GiveUp, now: Timestamp) -> bool {
        match give_up {
            GiveUp::Never => false,
            GiveUp::Expired => now > self.asked_at + constants::BLOCKED_JOB_QUERY_TIMEOUT,
            GiveUp::Always => true,
        }
    }
}

#[cfg(test)]
mod tests;
