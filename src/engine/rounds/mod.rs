//! Rounds: batches of task starts that are planned together and share one attempt number. A round
//! is made durable by compare-and-swap before any of its starts is sent.
//!
//! A round that fits into one transaction is written in one. A larger round, which is always a
//! single gang, is written in several transactions: all but the last write records that have no
//! effect by themselves, and the last one makes the round valid as a whole. If the leader is lost
//! in between, its successor finds starts that no machine reports and undoes them like any other
//! start that did not arrive. Every transaction has the same conditions: the version of the
//! leader's key and the versions of the records of the round's jobs. Therefore no transaction can
//! succeed after one of the jobs was cancelled or another node became leader, however late the
//! state service applies it.
//!
//! [`writing`] makes a round durable, [`maintenance`] undoes stalled starts and removes the records
//! of finished rounds, and [`orphans`] finds records left by writes that were applied late.

mod maintenance;
mod orphans;
mod write_state;
mod writing;

use super::records::StartRecord;
use crate::constants;
use crate::model::{JobId, MachineId, Timestamp};
use orphans::OrphanSearch;
use std::collections::BTreeMap;
use write_state::RoundWrite;

/// The starts of one job's tasks on one machine.
#[derive(Debug, Clone)]
pub(super) struct StartGroup {
    pub(super) job: JobId,
    pub(super) machine: MachineId,
    /// Indices of the tasks within the job.
    pub(super) tasks: Vec<u32>,
}

impl From<StartRecord> for StartGroup {
    fn from(record: StartRecord) -> Self {
        StartGroup {
            job: JobId::from(record.job.as_str()),
            machine: MachineId::from(record.machine.as_str()),
            tasks: record.tasks,
        }
    }
}

impl StartGroup {
    fn to_record(&self) -> StartRecord {
        StartRecord {
            job: self.job.to_string(),
            machine: self.machine.to_string(),
            tasks: self.tasks.clone(),
        }
    }
}

/// The part of a round that is stored as one record in the state service.
#[derive(Debug)]
pub(super) struct RoundPart {
    /// Key of the record.
    pub(super) key: String,
    pub(super) starts: Vec<StartGroup>,
}

/// A batch of starts that share one attempt number, stored in one or more records.
#[derive(Debug, Default)]
struct Round {
    parts: Vec<RoundPart>,
}

impl Round {
    fn starts(&self) -> impl Iterator<Item = &StartGroup> {
        self.parts.iter().flat_map(|part| &part.starts)
    }
}

/// A leader's rounds by number. The number of a round is the attempt number of all its starts.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Durable rounds whose records are still needed.
    open: BTreeMap<u64, Round>,
    /// Rounds being written: at most one that takes a single transaction, and at most one that
    /// takes several.
    writing: BTreeMap<u64, RoundWrite>,
    /// Number of rounds begun in this term.
    count: u64,
    next_maintenance_at: Timestamp,
    orphans: OrphanSearch,
}

impl Rounds {
    /// Adds a part of a durable round that was written by an earlier leader.
    pub(super) fn add_open_part(&mut self, number: u64, part: RoundPart) {
        self.open.entry(number).or_default().parts.push(part);
    }

    /// Returns the number of the term's next round, or `None` if the term has no numbers left.
    fn next_number(&mut self, term: u64) -> Option<u64> {
        self.count += 1;
        let exhausted = self.count >> constants::ROUND_BITS != 0;
        (!exhausted).then_some((term << constants::ROUND_BITS) | self.count)
    }

    /// Reports whether any round is being written.
    pub(super) fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Reports whether a round that takes a single transaction is being written.
    pub(super) fn is_writing_single(&self) -> bool {
        self.writing
            .values()
            .any(|write| !write.needs_multiple_transactions())
    }

    /// Reports whether a round that takes several transactions is being written.
    pub(super) fn is_writing_several(&self) -> bool {
        self.writing
            .values()
            .any(RoundWrite::needs_multiple_transactions)
    }

    /// Reports whether the round is open or being written, so that its records must be kept.
    fn contains(&self, number: u64) -> bool {
        self.open.contains_key(&number) || self.writing.contains_key(&number)
    }
}

#[cfg(test)]
mod tests;
