//! The service's records in the state service: their keys and their form.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `live/lead` | holder and term, under the holder's lease | a candidate |
//! | `term` | the highest term ever taken | a candidate |
//! | `live/job/<id>` | submission, time, cancelled or not, what it awaits | any node; rewritten when it may start, and removed, by the leader |
//! | `final/<id>` | how the job ended | any node (cancelled), the leader (done) |
//! | `work/<id>/0`, `work/<id>/<part>p` | which tasks of an array are done, in parts if it is large | the leader |
//! | `work/<id>/<chunk>` | the same, of a large array in the larger chunks of the version before pipelines | read only |
//! | `rounds/<number>`, `rounds/<number>.<part>` | the starts of a round; its undo is to stop each of them | the leader |

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::JobId;
use crate::wire;
use crate::wire::store::Transaction;
use crate::wire::user::{JobState, JobSubmission};
use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub const LIVE: &str = "live/";
pub const LEAD: &str = "live/lead";
pub const JOBS: &str = "live/job/";
pub const TERM: &str = "term";
pub const WORK: &str = "work/";
pub const ROUNDS: &str = "rounds/";
const FINAL: &str = "final/";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// While it names jobs that it awaits, none of its tasks may start: the leader takes the names
    /// out once all of them are durably done.
    pub job: JobSubmission,
    /// Time of day of the submission, ms.
    pub at_ms: u64,
    pub cancelled: bool,
    /// Time of day when the last job that it awaited was done, ms.
    pub ready_ms: Option<u64>,
}

/// A job's record as it is stored. One that waits for others stands in a field of its own, which
/// the version before pipelines can't read: it then leaves the job alone, calls it queued and can
/// cancel it, but never starts it. A cancelled one stands where that version looks.
#[derive(Clone, Serialize, Deserialize)]
struct StoredJob {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    job: Option<JobSubmission>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    step: Option<JobSubmission>,
    at_ms: u64,
    cancelled: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready_ms: Option<u64>,
}

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let waits = record.waits();
        let job = Some(record.job);
        let (job, step) = if waits { (None, job) } else { (job, None) };
        StoredJob {
            job,
            step,
            at_ms: record.at_ms,
            cancelled: record.cancelled,
            ready_ms: record.ready_ms,
        }
    }
}

impl TryFrom<StoredJob> for JobRecord {
    type Error = &'static str;

    fn try_from(stored: StoredJob) -> Result<Self, Self::Error> {
        Ok(JobRecord {
            job: stored.job.or(stored.step).ok_or("neither job nor step")?,
            at_ms: stored.at_ms,
            cancelled: stored.cancelled,
            ready_ms: stored.ready_ms,
        })
    }
}

impl JobRecord {
    pub fn new(job: JobSubmission, at_ms: u64) -> Self {
        JobRecord {
            job,
            at_ms,
            cancelled: false,
            ready_ms: None,
        }
    }

    /// Whether it waits for other jobs.
    pub fn waits(&self) -> bool {
        !self.cancelled && !self.job.depends_on.is_empty()
    }

    /// The same job, cancelled. What only placing needs is left out, so that the record of a job
    /// accepted under larger limits fits under smaller ones.
    pub fn cancelled(mut self) -> Self {
        self.cancelled = true;
        self.job.machine_types = None;
        self.job.depends_on = Vec::new();
        self
    }

    /// The same job when all that it awaited is done.
    pub fn ready(mut self, at_ms: u64) -> Self {
        self.ready_ms = Some(at_ms);
        self.job.depends_on = Vec::new();
        self
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: JobState,
    pub tasks: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    pub node: String,
    pub term: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
}

/// The starts of one round, or a part of them. All have the round's number as their attempt. The
/// undo list is implied: each start is undone by stopping that task's attempt on that machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundRecord {
    /// Job, machine, tasks.
    pub starts: Vec<(String, String, Vec<u32>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRecord {
    pub done: String,
}

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

pub fn final_key(id: &str) -> String {
    format!("{FINAL}{id}")
}

/// The record of that part of an array of so many tasks. A small array has one, under the key that
/// the version before pipelines uses for it as well.
pub fn work_key(id: &JobId, tasks: u32, part: u32) -> String {
    match tasks <= PROGRESS_RECORD_TASKS {
        true => format!("{WORK}{id}/{part}"),
        false => format!("{WORK}{id}/{part}p"),
    }
}

/// The job that a record of finished tasks is of, and the first task that it covers.
pub fn work_of_key(key: &str) -> Option<(JobId, u32)> {
    let (job, part) = key.strip_prefix(WORK)?.rsplit_once('/')?;
    let first = match part.strip_suffix('p') {
        Some(part) => part
            .parse::<u32>()
            .ok()?
            .checked_mul(PROGRESS_RECORD_TASKS)?,
        None => part
            .parse::<u32>()
            .ok()?
            .checked_mul(LEGACY_PROGRESS_RECORD_TASKS)?,
    };
    Some((job.into(), first))
}

pub fn round_key(number: u64, part: u32) -> String {
    match part {
        0 => format!("{ROUNDS}{number:016x}"),
        part => format!("{ROUNDS}{number:016x}.{part}"),
    }
}

/// The round that a record, whole or part, belongs to.
pub fn round_of_key(key: &str) -> Option<u64> {
    let name = key.strip_prefix(ROUNDS)?;
    let number = name.split_once('.').map_or(name, |(number, _)| number);
    u64::from_str_radix(number, 16).ok()
}

/// Adds to a transaction a job's end: its final record comes and its live one goes, if that still has
/// this version. Whoever changed it meanwhile wins.
pub fn end(txn: Transaction, id: &str, version: u64, state: JobState, tasks: u64) -> Transaction {
    let live = job_key(id);
    let last = FinalRecord { state, tasks };
    txn.compare(&live, version)
        .put(final_key(id), final_value(&last))
        .delete(live)
}

/// A record as a value of the state service.
pub fn value<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&wire::encode(record)).unwrap_or(Value::Nil)
}

pub fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    // Through bytes, as maps: the only form the records are written in.
    wire::decode(&wire::encode(&value)).ok()
}

/// Bytes of a value as JSON, the form in which the state service counts them; at least that many.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Nil | Value::Boolean(_) => 5,
        Value::Integer(n) => n.to_string().len(),
        // A decimal number takes at most 17 digits, a sign, a point and an exponent.
        Value::F32(_) | Value::F64(_) => 24,
        Value::String(text) => {
            2 + text
                .as_bytes()
                .iter()
                .map(|b| json_bytes(*b))
                .sum::<usize>()
        }
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(fields) => {
            let field = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 2;
            2 + fields.iter().map(field).sum::<usize>()
        }
        Value::Binary(bytes) | Value::Ext(_, bytes) => 2 * bytes.len(),
    }
}

/// A byte of a text as JSON; what some writers escape counts as escaped.
fn json_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        0..0x20 | 0x7f.. => 6,
        _ => 1,
    }
}

pub fn job_value(record: &JobRecord) -> Value {
    value(record)
}

pub fn final_value(record: &FinalRecord) -> Value {
    value(record)
}

pub fn read_job(value: Value) -> Option<JobRecord> {
    read(value)
}

pub fn read_final(value: Value) -> Option<FinalRecord> {
    read(value)
}

#[cfg(test)]
mod fixture_tests;
#[cfg(test)]
mod tests;
