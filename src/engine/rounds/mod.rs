//! Rounds: starts that are planned together, share one attempt number, and are made durable by
//! compare-and-swap before any of them is sent.
//!
//! A round that fits into one transaction is written by one. A larger one, always a single gang, is
//! written by several: all but the last write records that have no effect by themselves, and the
//! last one makes the round valid as a whole. If the leader is lost in between, its successor finds
//! starts that no machine reports, and undoes them like any other start that did not arrive. Every
//! transaction has the same conditions: the leader's key and the versions of the round's jobs. So
//! none can succeed after the job was cancelled, or after another node became leader, however late
//! it is carried out.
//!
//! [`writing`] makes a round durable, [`maintenance`] undoes starts that stall and removes the
//! records of rounds that are over, and [`orphans`] finds records that late writes have left.

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

/// Starts of tasks of one job on one machine.
#[derive(Debug, Clone)]
pub(super) struct StartGroup {
    pub(super) job: JobId,
    pub(super) machine: MachineId,
    /// Indices of the tasks.
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

/// One record of a round in the state service.
#[derive(Debug)]
pub(super) struct RoundPart {
    /// Key of the record.
    pub(super) key: String,
    pub(super) starts: Vec<StartGroup>,
}

/// A round: starts that share one attempt number, in one or more records.
#[derive(Debug, Default)]
struct Round {
    parts: Vec<RoundPart>,
}

impl Round {
    fn starts(&self) -> impl Iterator<Item = &StartGroup> {
        self.parts.iter().flat_map(|part| &part.starts)
    }
}

/// The rounds of a leader, by number. A round's number is the attempt number of all its starts.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Durable rounds whose records are still needed.
    open: BTreeMap<u64, Round>,
    /// Rounds being written: at most one of a single transaction and one of several.
    writing: BTreeMap<u64, RoundWrite>,
    /// Rounds of this term so far.
    count: u64,
    next_maintenance_at: Timestamp,
    orphans: OrphanSearch,
}

impl Rounds {
    /// Adds a part of a durable round that an earlier leader wrote.
    pub(super) fn add_open_part(&mut self, number: u64, part: RoundPart) {
        self.open.entry(number).or_default().parts.push(part);
    }

    /// The number of the next round of that term; `None` if the term has no more.
    fn next_number(&mut self, term: u64) -> Option<u64> {
        self.count += 1;
        let exhausted = self.count >> constants::ROUND_BITS != 0;
        (!exhausted).then_some((term << constants::ROUND_BITS) | self.count)
    }

    /// Whether any round is being written.
    pub(super) fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Whether a round of one transaction is being written.
    pub(super) fn is_writing_single(&self) -> bool {
        self.writing.values().any(|write| !write.needs_several())
    }

    /// Whether a round of several transactions is being written.
    pub(super) fn is_writing_several(&self) -> bool {
        self.writing.values().any(RoundWrite::needs_several)
    }

    /// Whether a record of this round is or will be needed.
    fn knows(&self, number: u64) -> bool {
        self.open.contains_key(&number) || self.writing.contains_key(&number)
    }
}

#[cfg(test)]
mod tests;
