//! Actions of users and of clients other than the simulated engines: submissions, cancellations,
//! status queries, and external writes to the state service.

use super::SimulatedCluster;
use crate::engine::records::{self, FinalRecord, JobRecord};
use crate::engine::{Command, Reply, ReplyId};
use crate::model::UnixTime;
use crate::wire::store::Transaction;
use crate::wire::user::{JobState, JobSubmission};

/// Time for which a user waits for the state of a blocked job, in milliseconds.
const QUERY_TIMEOUT: super::Millis = 1_500;

impl SimulatedCluster {
    /// Submits a job: writes its live record, as any node does when it accepts the job.
    pub(crate) fn submit(&mut self, job: JobSubmission) {
        let record = JobRecord::new(job.clone(), UnixTime::from_millis(self.now));
        self.put_record(&records::job_key(&job.id), records::job_value(&record));
        self.jobs.insert(job.id.clone(), job);
    }

    /// Cancels a job: writes the records that any node writes when it accepts the cancellation.
    ///
    /// # Panics
    ///
    /// Panics if the job has no live record.
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

    /// Asks a node for the state of a blocked job and waits for the reply. Returns `None` if the
    /// node does not reply within [`QUERY_TIMEOUT`] or can't determine the state.
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

    /// Asks a node how many of a job's tasks are running and how many have completed.
    pub(crate) fn request_task_counts(&mut self, node: usize, id: &str) {
        let reply = self.next_sequence();
        let job = id.into();
        self.step_with_command(node, Command::CountTasks { job, reply });
    }

    /// Asks a node for the state of a blocked job and returns the id of the expected reply.
    pub(crate) fn request_blocked_job_state(&mut self, node: usize, id: &str) -> ReplyId {
        let reply = self.next_sequence();
        let job = id.into();
        self.step_with_command(node, Command::QueryBlockedJob { job, reply });
        reply
    }

    /// Removes and returns the reply to a query, if it has arrived.
    pub(crate) fn take_reply(&mut self, reply: ReplyId) -> Option<Reply> {
        self.query_replies.remove(&reply)
    }

    /// Returns those of the given jobs which, as far as a node knows, were never accepted.
    ///
    /// # Panics
    ///
    /// Panics if the node does not reply immediately.
    pub(crate) fn unknown_jobs(&mut self, node: usize, ids: &[&str]) -> Vec<String> {
        let reply = self.next_sequence();
        let jobs = ids.iter().map(|id| (*id).into()).collect();
        self.step_with_command(node, Command::FindUnknownJobs { jobs, reply });
        match self.take_reply(reply) {
            Some(Reply::UnknownJobs(jobs)) => jobs.iter().map(ToString::to_string).collect(),
            other => panic!("{other:?}"),
        }
    }

    /// Delivers to a node the announcement of a cancellation that another node has confirmed.
    pub(crate) fn announce_cancellation(&mut self, node: usize, id: &str) {
        self.step_with_command(node, Command::JobCancelled(id.into()));
    }

    /// Delivers a command to a node's engine without delay.
    pub(super) fn step_with_command(&mut self, node: usize, command: Command) {
        self.step(self.process_of(node), vec![command]);
    }

    /// Deletes a record on behalf of an external client.
    pub(crate) fn delete_record(&mut self, key: &str) {
        self.commit_externally(&Transaction::default().delete(key));
    }

    /// Commits a transaction on behalf of an external client.
    ///
    /// # Panics
    ///
    /// Panics if the state service rejects the transaction.
    pub(crate) fn commit_externally(&mut self, transaction: &Transaction) {
        self.commit(transaction).unwrap();
    }

    /// Writes a record on behalf of an external client.
    pub(crate) fn put_record(&mut self, key: &str, value: rmpv::Value) {
        self.commit_externally(&Transaction::default().put(key, value));
    }
}
