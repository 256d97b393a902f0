//! Keys of the records. They must not change, because other versions read and write them.

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};
use crate::model::JobId;

/// Prefix of the records that every node watches.
pub(in crate::engine) const LIVE_PREFIX: &str = "live/";
/// Key of the leader's record.
pub(in crate::engine) const LEADER_KEY: &str = "live/lead";
/// Prefix of the live records of jobs.
pub(in crate::engine) const JOB_PREFIX: &str = "live/job/";
/// Key of the record of the highest term taken.
pub(in crate::engine) const TERM_KEY: &str = "term";
/// Prefix of progress records.
pub(in crate::engine) const PROGRESS_PREFIX: &str = "work/";
/// Prefix of the records of rounds.
pub(in crate::engine) const ROUND_PREFIX: &str = "rounds/";
/// Prefix of the final records of jobs.
const FINAL_PREFIX: &str = "final/";

/// Returns the key of a job's live record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's final record.
pub fn final_key(id: &str) -> String {
    format!("{FINAL_PREFIX}{id}")
}

/// Returns the key of the progress record of one part of an array with `tasks` tasks. An array of
/// at most [`PROGRESS_RECORD_TASKS`] tasks has a single record, whose key is the one that the
/// version before dependencies uses as well.
pub(in crate::engine) fn progress_key(id: &JobId, tasks: u32, part: u32) -> String {
    match tasks <= PROGRESS_RECORD_TASKS {
        true => format!("{PROGRESS_PREFIX}{id}/{part}"),
        false => format!("{PROGRESS_PREFIX}{id}/{part}p"),
    }
}

/// Parses the key of a progress record. Returns the job and the first task that the record covers,
/// or `None` if the key has another form.
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

/// Returns the key of one part of a round. Part 0 has a key without a part number.
pub(in crate::engine) fn round_key(number: u64, part: u32) -> String {
    match part {
        0 => format!("{ROUND_PREFIX}{number:016x}"),
        part => format!("{ROUND_PREFIX}{number:016x}.{part}"),
    }
}

/// Parses the key of a round's record or of a part of it. Returns the number of the round, or
/// `None` if the key has another form.
pub(in crate::engine) fn parse_round_key(key: &str) -> Option<u64> {
    let name = key.strip_prefix(ROUND_PREFIX)?;
    let number = name.split_once('.').map_or(name, |(number, _)| number);
    u64::from_str_radix(number, 16).ok()
}
