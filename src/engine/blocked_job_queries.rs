//! Users' queries about blocked jobs. A query is answered only after a refresh of the live records
//! that began after the query arrived, so that the answer is not older than the query.

use super::messages::{Reply, ReplyId};
use crate::constants;
use crate::model::{JobId, Timestamp};

/// A query that waits for a refresh of the live records.
#[derive(Debug)]
struct PendingQuery {
    job: JobId,
    reply: ReplyId,
    received_at: Timestamp,
    /// Number of refreshes that had completed or were in flight when the query arrived. The query
    /// can be answered once more refreshes than that have completed.
    earlier_refreshes: u64,
}

/// The pending queries, and the refreshes that make them answerable.
#[derive(Debug, Default)]
pub(super) struct BlockedJobQueries {
    pending: Vec<PendingQuery>,
    completed_refreshes: u64,
    refresh_in_flight: bool,
    next_refresh_at: Timestamp,
}

/// Which queries are given up, and answered with [`Reply::Unavailable`], if they can't be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GiveUp {
    /// No query.
    Never,
    /// Queries older than the maximum query age.
    Expired,
    /// All queries.
    Always,
}

impl BlockedJobQueries {
    /// Adds a query. Returns false if too many queries are pending.
    pub(super) fn add(&mut self, job: JobId, reply: ReplyId, now: Timestamp) -> bool {
        if self.pending.len() >= constants::MAX_USER_CALLS {
            return false;
        }
        self.pending.push(PendingQuery {
            job,
            reply,
            received_at: now,
            earlier_refreshes: self.completed_refreshes + u64::from(self.refresh_in_flight),
        });
        true
    }

    /// Reports whether a refresh is due: queries wait for one, none is in flight, and
    /// [`constants::BLOCKED_JOB_REFRESH_INTERVAL`] has passed since the last one began.
    pub(super) fn needs_refresh(&self, now: Timestamp) -> bool {
        let is_waiting = |query: &PendingQuery| !self.is_answerable(query);
        self.pending.iter().any(is_waiting)
            && !self.refresh_in_flight
            && now >= self.next_refresh_at
    }

    /// Marks a refresh as begun at `now`.
    pub(super) fn begin_refresh(&mut self, now: Timestamp) {
        self.refresh_in_flight = true;
        self.next_refresh_at = now + constants::BLOCKED_JOB_REFRESH_INTERVAL;
    }

    /// Marks the refresh in flight as ended, whether it succeeded or not.
    pub(super) fn end_refresh(&mut self) {
        self.refresh_in_flight = false;
    }

    /// Counts a successful refresh: queries that arrived before it began can be answered.
    pub(super) fn complete_refresh(&mut self) {
        self.completed_refreshes += 1;
    }

    /// Removes the queries that can be answered or are given up, and returns the replies to them.
    /// `answer` returns the reply about a job, or `None` if the job's state is not known.
    pub(super) fn take_replies(
        &mut self,
        answer: impl Fn(&JobId) -> Option<Reply>,
        give_up: GiveUp,
        now: Timestamp,
    ) -> Vec<(ReplyId, Reply)> {
        let mut replies = Vec::new();
        for query in std::mem::take(&mut self.pending) {
            let answerable = self.is_answerable(&query);
            let reply = if answerable { answer(&query.job) } else { None };
            match reply {
                Some(reply) => replies.push((query.reply, reply)),
                None if query.is_given_up(give_up, now) => {
                    replies.push((query.reply, Reply::Unavailable));
                }
                None => self.pending.push(query),
            }
        }
        replies
    }

    /// Reports whether a refresh that began after the query has completed.
    fn is_answerable(&self, query: &PendingQuery) -> bool {
        query.earlier_refreshes < self.completed_refreshes
    }
}

impl PendingQuery {
    fn is_given_up(&self, give_up: GiveUp, now: Timestamp) -> bool {
        match give_up {
            GiveUp::Never => false,
            GiveUp::Expired => now > self.received_at + constants::BLOCKED_JOB_QUERY_TIMEOUT,
            GiveUp::Always => true,
        }
    }
}

#[cfg(test)]
mod tests;
