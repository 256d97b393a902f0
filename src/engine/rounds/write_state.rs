//! State of a round that is being written: the parts that are durable and those still to be
//! written.

use super::{Round, RoundPart, StartGroup};
use crate::engine::records::{self, LEADER_KEY, RoundRecord};
use crate::engine::retry::Retry;
use crate::model::{JobId, MachineId};
use crate::placement::TaskStart;
use crate::wire::store::Transaction;
use std::collections::BTreeMap;
use std::ops::Range;

/// Limits on a round's records that follow from the limits of the state service.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordLimits {
    /// Maximum number of starts in one record.
    pub(super) starts_per_record: usize,
    /// Maximum number of records written by one transaction.
    pub(super) records_per_transaction: usize,
}

/// The write of a round. The transaction in flight is retried until its outcome is known.
#[derive(Debug)]
pub(super) struct RoundWrite {
    round: Round,
    /// Versions that the records of the round's jobs must still have.
    job_versions: BTreeMap<JobId, u64>,
    /// Number of durable parts. Parts are written in order, so these are the first ones.
    durable_parts: usize,
    parts_per_transaction: usize,
    pub(super) retry: Retry,
}

impl RoundWrite {
    /// Creates the write of a round with these starts; none of its parts is durable yet.
    pub(super) fn new(
        number: u64,
        starts: &[TaskStart],
        job_versions: BTreeMap<JobId, u64>,
        limits: RecordLimits,
    ) -> Self {
        RoundWrite {
            round: Round {
                parts: split_into_parts(number, starts, limits.starts_per_record),
            },
            job_versions,
            durable_parts: 0,
            parts_per_transaction: limits.records_per_transaction,
            retry: Retry::default(),
        }
    }

    /// Returns the range of parts that the transaction in flight writes.
    fn parts_in_flight(&self) -> Range<usize> {
        let end = self.durable_parts + self.parts_per_transaction;
        self.durable_parts..end.min(self.round.parts.len())
    }

    /// Reports whether the round takes more than one transaction.
    pub(super) fn needs_multiple_transactions(&self) -> bool {
        self.round.parts.len() > self.parts_per_transaction
    }

    /// Returns the transaction that writes the next parts. Its conditions are that the leader's key
    /// has `leader_version`, that the parts' keys do not exist yet, and that the records of the
    /// round's jobs still have their versions.
    pub(super) fn transaction(&self, leader_version: u64) -> Transaction {
        let mut transaction = Transaction::default().compare(LEADER_KEY, leader_version);
        for part in &self.round.parts[self.parts_in_flight()] {
            let record = RoundRecord {
                starts: part.starts.iter().map(StartGroup::to_record).collect(),
            };
            transaction = transaction
                .compare(&part.key, 0)
                .put(&part.key, records::to_value(&record));
        }
        for (job, version) in &self.job_versions {
            transaction = transaction.compare(records::job_key(&job.0), *version);
        }
        transaction
    }

    /// Reports whether the failed conditions show that an earlier attempt of the same transaction
    /// was applied: the keys of its parts exist already.
    pub(super) fn was_already_applied(&self, failed_keys: &[String]) -> bool {
        let parts = &self.round.parts[self.parts_in_flight()];
        parts.iter().any(|part| failed_keys.contains(&part.key))
    }

    /// Marks the parts in flight as durable and reports whether the whole round is durable now.
    pub(super) fn on_parts_durable(&mut self) -> bool {
        self.durable_parts = self.parts_in_flight().end;
        self.retry = Retry::default();
        self.durable_parts == self.round.parts.len()
    }

    /// Returns the round. Called once all its parts are durable.
    pub(super) fn into_round(self) -> Round {
        self.round
    }

    /// Returns all starts of the round.
    pub(super) fn starts(&self) -> impl Iterator<Item = &StartGroup> {
        self.round.starts()
    }

    /// Returns the keys of the durable parts.
    pub(super) fn durable_keys(&self) -> impl Iterator<Item = &String> {
        let durable = &self.round.parts[..self.durable_parts];
        durable.iter().map(|part| &part.key)
    }
}

/// Splits starts into parts, each of which is stored as one record.
fn split_into_parts(number: u64, starts: &[TaskStart], starts_per_record: usize) -> Vec<RoundPart> {
    let to_part = |(index, starts): (u32, &[TaskStart])| RoundPart {
        key: records::round_key(number, index),
        starts: group_by_job_and_machine(starts),
    };
    (0..)
        .zip(starts.chunks(starts_per_record))
        .map(to_part)
        .collect()
}

/// Groups starts by job and machine.
fn group_by_job_and_machine(starts: &[TaskStart]) -> Vec<StartGroup> {
    let mut groups: BTreeMap<(&JobId, &MachineId), Vec<u32>> = BTreeMap::new();
    for start in starts {
        let tasks = groups.entry((&start.job, &start.machine)).or_default();
        tasks.push(start.index);
    }
    let to_group = |((job, machine), tasks): ((&JobId, &MachineId), Vec<u32>)| StartGroup {
        job: job.clone(),
        machine: machine.clone(),
        tasks,
    };
    groups.into_iter().map(to_group).collect()
}
