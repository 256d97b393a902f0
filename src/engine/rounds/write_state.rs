//! A round whose records are not all known to be durable.

use super::{Round, RoundPart, StartGroup};
use crate::engine::records::{self, LEADER_KEY, RoundRecord};
use crate::engine::retry::Retry;
use crate::model::{JobId, MachineId};
use crate::placement::TaskStart;
use crate::wire::store::Transaction;
use std::collections::BTreeMap;
use std::ops::Range;

/// The limits that the state service sets to a round's records.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordLimits {
    /// Starts that one record holds.
    pub(super) starts_per_record: usize,
    /// Records that one transaction writes.
    pub(super) records_per_transaction: usize,
}

/// The write of a round. The transaction in flight is repeated until its outcome is known.
#[derive(Debug)]
pub(super) struct RoundWrite {
    round: Round,
    /// The versions that its jobs' records must still have.
    job_versions: BTreeMap<JobId, u64>,
    /// Leading parts that are durable.
    durable_parts: usize,
    parts_per_transaction: usize,
    pub(super) retry: Retry,
}

impl RoundWrite {
    /// The write of a round with these starts, of which nothing is durable yet.
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

    /// The parts that the transaction in flight writes.
    fn parts_in_flight(&self) -> Range<usize> {
        let end = self.durable_parts + self.parts_per_transaction;
        self.durable_parts..end.min(self.round.parts.len())
    }

    /// Whether the round takes several transactions.
    pub(super) fn needs_several(&self) -> bool {
        self.round.parts.len() > self.parts_per_transaction
    }

    /// The transaction that writes the next parts.
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

    /// Whether a failed condition shows that an earlier copy of the transaction was carried out.
    pub(super) fn is_durable_already(&self, failed_keys: &[String]) -> bool {
        let parts = &self.round.parts[self.parts_in_flight()];
        parts.iter().any(|part| failed_keys.contains(&part.key))
    }

    /// The transaction in flight is durable; whether the whole round is.
    pub(super) fn on_parts_durable(&mut self) -> bool {
        self.durable_parts = self.parts_in_flight().end;
        self.retry = Retry::default();
        self.durable_parts == self.round.parts.len()
    }

    /// The round, once it is durable.
    pub(super) fn into_round(self) -> Round {
        self.round
    }

    /// Starts of the round.
    pub(super) fn starts(&self) -> impl Iterator<Item = &StartGroup> {
        self.round.starts()
    }

    /// Keys of the parts that are durable.
    pub(super) fn durable_keys(&self) -> impl Iterator<Item = &String> {
        let durable = &self.round.parts[..self.durable_parts];
        durable.iter().map(|part| &part.key)
    }
}

/// Divides starts into the parts that are written as one record each.
fn split_into_parts(number: u64, starts: &[TaskStart], starts_per_record: usize) -> Vec<RoundPart> {
    let part = |(index, starts): (u32, &[TaskStart])| RoundPart {
        key: records::round_key(number, index),
        starts: group(starts),
    };
    (0..)
        .zip(starts.chunks(starts_per_record))
        .map(part)
        .collect()
}

/// Groups starts by job and machine.
fn group(starts: &[TaskStart]) -> Vec<StartGroup> {
    let mut groups: BTreeMap<(&JobId, &MachineId), Vec<u32>> = BTreeMap::new();
    for start in starts {
        let tasks = groups.entry((&start.job, &start.machine)).or_default();
        tasks.push(start.index);
    }
    let group = |((job, machine), tasks): ((&JobId, &MachineId), Vec<u32>)| StartGroup {
        job: job.clone(),
        machine: machine.clone(),
        tasks,
    };
    groups.into_iter().map(group).collect()
}
