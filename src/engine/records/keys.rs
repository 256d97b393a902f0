//! Keys of the records. They are durable: other versions read and write them.

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::JobId;

/// Prefix of the records that every node follows.
pub(in crate::engine) const LIVE_PREFIX: &str = "live/";
/// Key of the leader's record.
pub(in crate::engine) const LEADER_KEY: &str = "live/lead";
/// Prefix of the records of jobs that are not over.
pub(in crate::engine) const JOB_PREFIX: &str = "live/job/";
/// Key of the durable term.
pub(in crate::engine) const TERM_KEY: &str = "term";
/// Prefix of progress records.
pub(in crate::engine) const PROGRESS_PREFIX: &str = "work/";
/// Prefix of the records of rounds.
pub(in crate::engine) const ROUND_PREFIX: &str = "rounds/";
const FINAL_PREFIX: &str = "final/";

/// Key of a job's live record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a job's final record.
pub fn final_key(id: &str) -> String {
    format!("{FINAL_PREFIX}{id}")
}

/// Key of the progress record of a part of an array of so many tasks. A small array has one, under
/// the key that the version before dependencies uses for it as well.
pub(in crate::engine) fn progress_key(id: &JobId, tasks: u32, part: u32) -> String {
    match tasks <= PROGRESS_RECORD_TASKS {
        true => format!("{PROGRESS_PREFIX}{id}/{part}"),
        false => format!("{PROGRESS_PREFIX}{id}/{part}p"),
    }
}

/// The job that a progress record is of, and the first task that it covers.
pub(in crate::engine) fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let (job, part) = key.strip_prefix(PROGRESS_PREFIX)?.rsplit_once('/')?;
    let first_task = match part.strip_suffix('p') {
        Some(part) => part
            .parse::<u32>()
            .ok()?
            .checked_mul(PROGRESS_RECORD_TASKS)?,
        None => part
            .parse::<u32>()
            .ok()?
            .checked_mul(LEGACY_PROGRESS_RECORD_TASKS)?,
    };
    Some((job.into(), first_task))
}

/// Key of a part of a round's record.
pub(in crate::engine) fn round_key(number: u64, part: u32) -> String {
    match part {
        0 => format!("{ROUND_PREFIX}{number:016x}"),
        part => format!("{ROUND_PREFIX}{number:016x}.{part}"),
    }
}

/// The round that a record, whole or part, belongs to.
pub(in crate::engine) fn parse_round_key(key: &str) -> Option<u64> {
    let name = key.strip_prefix(ROUND_PREFIX)?;
    let number = name.split_once('.').map_or(name, |(number, _)| number);
    u64::from_str_radix(number, 16).ok()
}
