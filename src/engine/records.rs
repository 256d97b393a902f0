//! The service's records in the state service: their keys and their form.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `live/lead` | holder and term, under the holder's lease | a candidate |
//! | `term` | the highest term ever taken | a candidate |
//! | `live/job/<id>` | submission, time, cancelled or not | any node; removed by the leader |
//! | `final/<id>` | how the job ended | any node (cancelled), the leader (done) |
//! | `work/<id>/<chunk>` | which tasks of an array are done | the leader |
//! | `rounds/<number>`, `rounds/<number>.<part>` | the starts of a round; its undo is to stop each of them | the leader |

use crate::model::JobId;
use crate::wire;
use crate::wire::user::{Job, JobState};
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
pub struct JobRecord {
    pub job: Job,
    /// Time of day of the submission, ms.
    pub at_ms: u64,
    pub cancelled: bool,
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

pub fn work_key(id: &JobId, chunk: u32) -> String {
    format!("{WORK}{id}/{chunk}")
}

pub fn work_of_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(WORK)?.rsplit_once('/')?;
    Some((job.into(), chunk.parse().ok()?))
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

/// A record as a value of the state service.
pub fn value<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&wire::encode(record)).unwrap_or(Value::Nil)
}

pub fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    // Through bytes, as maps: the only form the records are written in.
    wire::decode(&wire::encode(&value)).ok()
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
mod tests;
