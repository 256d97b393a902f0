//! The scheduler's records in the state service: their keys and their format.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `live/lead` | the leader's node and term, attached to the leader's lease | a candidate |
//! | `term` | the highest term ever taken | a candidate |
//! | `live/job/<id>` | submission with dependencies, time of submission, whether cancelled | any node; the leader rewrites it when the job may start, and removes it when the job is over |
//! | `final/<id>` | the final state of the job | any node (cancelled), the leader (done) |
//! | `work/<id>/0`, `work/<id>/<part>p` | progress: the completed tasks of an array, in parts if the array is large | the leader |
//! | `work/<id>/<chunk>` | progress of a large array in the larger chunks of the version before dependencies | that version; this one only reads and removes it |
//! | `rounds/<number>`, `rounds/<number>.<part>` | the starts of a round; a round is undone by stopping each of its starts | the leader |
//!
//! Keys and field names must not change, because other versions read the stored records.

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

/// The record of a job that is not over, or that is cancelled and may still have tasks on machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// The submission. While it names dependencies, none of the job's tasks may start. The leader
    /// removes the names once the completion of all dependencies is durable.
    pub job: JobSubmission,
    /// When the job was submitted.
    pub submitted_at: UnixTime,
    /// Whether the job is cancelled.
    pub cancelled: bool,
    /// When the job's last dependency was done, if the job had any.
    pub ready_at: Option<UnixTime>,
}

/// A job's record in its stored form. The submission of a blocked job is stored in the field `step`
/// instead of `job`. The version before dependencies reads only `job` and can't decode a record
/// without it: it leaves the job alone, reports it as queued and can cancel it, but never starts
/// it. The submission of a cancelled job is stored in `job`, where that version finds it.
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

/// Error for a stored job record that has no submission in either field.
#[derive(Debug, thiserror::Error)]
#[error("neither job nor step")]
struct MissingSubmission;

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let is_blocked = record.is_blocked();
        let submission = Some(record.job);
        let (job, blocked_job) = match is_blocked {
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
    /// Creates the record of a newly submitted job.
    pub fn new(job: JobSubmission, submitted_at: UnixTime) -> Self {
        JobRecord {
            job,
            submitted_at,
            cancelled: false,
            ready_at: None,
        }
    }

    /// Reports whether the job waits for dependencies. A cancelled job never does.
    pub fn is_blocked(&self) -> bool {
        !self.cancelled && !self.job.depends_on.is_empty()
    }

    /// Returns the record of the same job, cancelled. Fields that only scheduling needs are
    /// cleared, so that the record of a job that was accepted under larger size limits fits under
    /// smaller ones.
    pub fn cancelled(mut self) -> Self {
        self.cancelled = true;
        self.job.machine_types = None;
        self.job.depends_on = Vec::new();
        self
    }

    /// Returns the record of the same job after all its dependencies are done, without their names.
    pub fn ready(mut self, ready_at: UnixTime) -> Self {
        self.ready_at = Some(ready_at);
        self.job.depends_on = Vec::new();
        self
    }
}

/// The final record of a job: its final state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether the job is done or cancelled.
    pub state: JobState,
    /// Number of the job's tasks.
    pub tasks: u64,
}

/// The record that names the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// Name of the leader's node.
    pub node: String,
    /// Term of the leader.
    pub term: u64,
}

/// The record of the highest term that any leader has taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TermRecord {
    /// The highest term taken so far.
    pub term: u64,
}

/// The starts of a round, or a part of them. The round's number is the attempt number of all
/// starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RoundRecord {
    /// The starts, grouped by job and machine.
    pub starts: Vec<StartRecord>,
}

/// The starts of a job's tasks on one machine, stored as a list of the fields without names.
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
    /// Indices of the tasks within the job.
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

/// The completed tasks in one part of an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ProgressRecord {
    /// Bitmap of the part's completed tasks as hexadecimal text, see
    /// [`crate::model::TaskSet::encode_part`].
    pub done: String,
}

/// Adds a job's end to a transaction: writes the final record and deletes the live record, on
/// condition that the live record still has `version`.
pub(super) fn add_job_end(
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

/// Encodes a record as a value of the state service.
pub(super) fn to_value<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&wire::encode(record)).unwrap_or(Value::Nil)
}

/// Decodes a value as a record; `None` if the value does not have the form of that record.
pub(super) fn from_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    // Decodes the value from its bytes, because `wire::decode` accepts only maps, the form in which
    // all records are written.
    wire::decode(&wire::encode(&value)).ok()
}

/// Encodes a job's record as a value of the state service.
pub fn job_value(record: &JobRecord) -> Value {
    to_value(record)
}

/// Encodes a final record as a value of the state service.
pub fn final_value(record: &FinalRecord) -> Value {
    to_value(record)
}

/// Decodes a job's record; `None` if the value does not have its form.
pub fn decode_job(value: Value) -> Option<JobRecord> {
    from_value(value)
}

/// Decodes a final record; `None` if the value does not have its form.
pub fn decode_final(value: Value) -> Option<FinalRecord> {
    from_value(value)
}

#[cfg(test)]
mod fixture_tests;
#[cfg(test)]
mod tests;
