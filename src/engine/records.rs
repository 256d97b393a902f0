//! The service's records in the state service: their keys and their form.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `live/lead` | the leader's node and term, attached to the leader's lease | a candidate |
//! | `term` | the highest term ever taken | a candidate |
//! | `live/job/<id>` | submission, time, cancelled or not, dependencies | any node; rewritten when it may start, and removed, by the leader |
//! | `final/<id>` | how the job ended | any node (cancelled), the leader (done) |
//! | `work/<id>/0`, `work/<id>/<part>p` | progress: which tasks of an array have completed, in parts if it is large | the leader |
//! | `work/<id>/<chunk>` | the same, of a large array in the larger parts of the version before dependencies | read only |
//! | `rounds/<number>`, `rounds/<number>.<part>` | the starts of a round; it is undone by stopping each of them | the leader |
//!
//! Keys and field names are durable: other versions read them.

mod json_size;
mod keys;

pub use json_size::json_size;
pub(super) use keys::{
    JOB_PREFIX, LEADER_KEY, LIVE_PREFIX, PROGRESS_PREFIX, ROUND_PREFIX, TERM_KEY,
    parse_progress_key, parse_round_key, progress_key, round_key,
};
pub use keys::{final_key, job_key};

use crate::model::UnixTime;
use crate::wire;
use crate::wire::store::Transaction;
use crate::wire::user::{JobState, JobSubmission};
use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The record of a job that is not over, or is cancelled and may still have tasks on machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// The submission. While it names dependencies, none of the job's tasks may start: the leader
    /// takes the names out once all of them are durably done.
    pub job: JobSubmission,
    /// When it was submitted.
    pub submitted_at: UnixTime,
    /// Whether it is cancelled.
    pub cancelled: bool,
    /// When its last dependency was done, if it had any.
    pub ready_at: Option<UnixTime>,
}

/// A job's record as it is stored. The submission of a blocked one stands in a field of its own,
/// which the version before dependencies can't read: it then leaves the job alone, calls it queued
/// and can cancel it, but never starts it. A cancelled one stands where that version looks.
#[derive(Clone, Serialize, Deserialize)]
struct StoredJob {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    job: Option<JobSubmission>,
    #[serde(rename = "step", default, skip_serializing_if = "Option::is_none")]
    blocked_job: Option<JobSubmission>,
    #[serde(rename = "at_ms")]
    submitted_at: UnixTime,
    cancelled: bool,
    #[serde(rename = "ready_ms", default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<UnixTime>,
}

/// A stored job's record has no submission.
#[derive(Debug, thiserror::Error)]
#[error("neither job nor step")]
struct MissingSubmission;

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let blocked = record.waits();
        let submission = Some(record.job);
        let (job, blocked_job) = match blocked {
            true => (None, submission),
            false => (submission, None),
        };
        StoredJob {
            job,
            blocked_job,
            submitted_at: record.submitted_at,
            cancelled: record.cancelled,
            ready_at: record.ready_at,
        }
    }
}

impl TryFrom<StoredJob> for JobRecord {
    type Error = MissingSubmission;

    fn try_from(stored: StoredJob) -> Result<Self, Self::Error> {
        let submission = stored.job.or(stored.blocked_job);
        Ok(JobRecord {
            job: submission.ok_or(MissingSubmission)?,
            submitted_at: stored.submitted_at,
            cancelled: stored.cancelled,
            ready_at: stored.ready_at,
        })
    }
}

impl JobRecord {
    /// The record of a job that is submitted now.
    pub fn new(job: JobSubmission, submitted_at: UnixTime) -> Self {
        JobRecord {
            job,
            submitted_at,
            cancelled: false,
            ready_at: None,
        }
    }

    /// Whether it waits for dependencies.
    pub fn waits(&self) -> bool {
        !self.cancelled && !self.job.depends_on.is_empty()
    }

    /// The record of the same job, cancelled. What only scheduling needs is left out, so that the
    /// record of a job that was accepted under larger limits fits under smaller ones.
    pub fn cancelled(mut self) -> Self {
        self.cancelled = true;
        self.job.machine_types = None;
        self.job.depends_on = Vec::new();
        self
    }

    /// The record of the same job once all dependencies are done.
    pub fn ready(mut self, ready_at: UnixTime) -> Self {
        self.ready_at = Some(ready_at);
        self.job.depends_on = Vec::new();
        self
    }
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Done or cancelled.
    pub state: JobState,
    /// Number of its tasks.
    pub tasks: u64,
}

/// The leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// Name of its node.
    pub node: String,
    /// Its term.
    pub term: u64,
}

/// The highest term ever taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TermRecord {
    /// The term.
    pub term: u64,
}

/// The starts of one round, or a part of them. All have the round's number as their attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RoundRecord {
    /// The starts, by job and machine.
    pub starts: Vec<StartRecord>,
}

/// Starts of a job's tasks on one machine; stored as a list of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(String, String, Vec<u32>)",
    into = "(String, String, Vec<u32>)"
)]
pub(super) struct StartRecord {
    /// Id of the job.
    pub job: String,
    /// Name of the machine.
    pub machine: String,
    /// Indices of the tasks.
    pub tasks: Vec<u32>,
}

impl From<(String, String, Vec<u32>)> for StartRecord {
    fn from((job, machine, tasks): (String, String, Vec<u32>)) -> Self {
        StartRecord {
            job,
            machine,
            tasks,
        }
    }
}

impl From<StartRecord> for (String, String, Vec<u32>) {
    fn from(record: StartRecord) -> Self {
        (record.job, record.machine, record.tasks)
    }
}

/// Completed tasks of a part of an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ProgressRecord {
    /// Bitmap of the part as hexadecimal text, see [`crate::model::TaskSet::encode_part`].
    pub done: String,
}

/// Adds a job's end to a transaction: its final record comes and its live one goes, if that still
/// has this version.
pub(super) fn finish_job(
    transaction: Transaction,
    id: &str,
    version: u64,
    state: JobState,
    tasks: u64,
) -> Transaction {
    let live_key = job_key(id);
    let record = FinalRecord { state, tasks };
    transaction
        .compare(&live_key, version)
        .put(final_key(id), final_value(&record))
        .delete(live_key)
}

/// A record as a value of the state service.
pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&wire::encode(record)).unwrap_or(Value::Nil)
}

/// Reads a value as a record; `None` if it has another form.
pub(super) fn from_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    // Through bytes, as maps: the only form in which records are written.
    wire::decode(&wire::encode(&value)).ok()
}

/// A job's record as a value.
pub fn job_value(record: &JobRecord) -> Value {
    to_value(record)
}

/// A final record as a value.
pub fn final_value(record: &FinalRecord) -> Value {
    to_value(record)
}

/// Reads a job's record; `None` if the value has another form.
pub fn read_job(value: Value) -> Option<JobRecord> {
    from_value(value)
}

/// Reads a final record; `None` if the value has another form.
pub fn read_final(value: Value) -> Option<FinalRecord> {
    from_value(value)
}

#[cfg(test)]
mod fixture_tests;
#[cfg(test)]
mod tests;
