//! What users and other nodes do: submissions, cancellations, status queries, and records written by
//! somebody else than the simulated engines.

use super::SimulatedCluster;
use crate::engine::records::{self, FinalRecord, JobRecord};
use crate::engine::{Command, Reply, ReplyId};
use crate::model::UnixTime;
use crate::wire::store::Transaction;
use crate::wire::user::{JobState, JobSubmission};

/// How long a user waits for the state of a blocked job, ms.
const QUERY_TIMEOUT: super::Millis = 1_500;

impl SimulatedCluster {
    /// Any node accepts a job.
    pub(crate) fn submit(&mut self, job: JobSubmission) {
        let record = JobRecord::new(job.clone(), UnixTime::from_millis(self.now));
        self.put_record(&records::job_key(&job.id), records::job_value(&record));
        self.jobs.insert(job.id.clone(), job);
    }

    /// Any node accepts a cancellation.
    pub(crate) fn cancel(&mut self, id: &str) {
        let record = self.live_record(id).unwrap().cancelled();
        let final_record = FinalRecord {
            state: JobState::Cancelled,
            tasks: record.job.tasks,
        };
        self.put_record(&records::job_key(id), records::job_value(&record));
        self.put_record(&records::final_key(id), records::final_value(&final_record));
        self.cancelled.insert(id.into(), self.now);
    }

    /// The state of a blocked job that a node gives; none if it can't tell in time.
    pub(crate) fn blocked_job_state(&mut self, node: usize, id: &str) -> Option<JobState> {
        let reply = self.request_blocked_job_state(node, id);
        self.run_until(QUERY_TIMEOUT, |cluster| {
            cluster.query_replies.contains_key(&reply)
        });
        match self.take_reply(reply) {
            Some(Reply::BlockedJobState(state)) => state,
            _ => None,
        }
    }

    /// Asks a node how many of a job's tasks are running and have completed.
    pub(crate) fn request_task_counts(&mut self, node: usize, id: &str) {
        let reply = self.next_sequence();
        let job = id.into();
        self.step_with_command(node, Command::CountTasks { job, reply });
    }

    /// Asks a node for the state of a blocked job.
    pub(crate) fn request_blocked_job_state(&mut self, node: usize, id: &str) -> ReplyId {
        let reply = self.next_sequence();
        let job = id.into();
        self.step_with_command(node, Command::QueryBlockedJob { job, reply });
        reply
    }

    /// The reply to a query, once.
    pub(crate) fn take_reply(&mut self, reply: ReplyId) -> Option<Reply> {
        self.query_replies.remove(&reply)
    }

    /// Which of these jobs a node does not know to have been accepted.
    pub(crate) fn unknown_jobs(&mut self, node: usize, ids: &[&str]) -> Vec<String> {
        let reply = self.next_sequence();
        let jobs = ids.iter().map(|id| (*id).into()).collect();
        self.step_with_command(node, Command::FindUnknownJobs { jobs, reply });
        match self.take_reply(reply) {
            Some(Reply::UnknownJobs(jobs)) => jobs.iter().map(ToString::to_string).collect(),
            other => panic!("{other:?}"),
        }
    }

    /// The node that confirmed a cancellation announces it to another one.
    pub(crate) fn announce_cancellation(&mut self, node: usize, id: &str) {
        self.step_with_command(node, Command::JobCancelled(id.into()));
    }

    /// A node's engine gets a command without delay.
    pub(super) fn step_with_command(&mut self, node: usize, command: Command) {
        self.step(self.process_of(node), vec![command]);
    }

    /// Somebody else deletes a record.
    pub(crate) fn delete_record(&mut self, key: &str) {
        self.commit_externally(&Transaction::default().delete(key));
    }

    /// Somebody else commits a transaction.
    pub(crate) fn commit_externally(&mut self, transaction: &Transaction) {
        self.commit(transaction).unwrap();
    }

    /// Somebody else writes a record.
    pub(crate) fn put_record(&mut self, key: &str, value: rmpv::Value) {
        self.commit_externally(&Transaction::default().put(key, value));
    }
}
