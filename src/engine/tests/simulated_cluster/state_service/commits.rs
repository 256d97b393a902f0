//! Transactions: comparisons, limits and late execution.

use super::super::{Millis, SimulatedCluster};
use super::{LoggedChange, StateService, StoredValue};
use crate::engine::records;
use crate::store::{StoreError, StoreReply};
use crate::wire::encode;
use crate::wire::store::{Mutation, Transaction, WatchEvent};

/// The delay of the write that a test asks for.
const LATE_WRITE_DELAY: Millis = 12_000;
/// The protocol's limit on a transaction's size, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Comparisons that a transaction may have for each mutation.
const COMPARISONS_PER_MUTATION: usize = 4;

fn key_of(mutation: &Mutation) -> &str {
    match mutation {
        Mutation::Put { key, .. } | Mutation::Delete { key } => key,
    }
}

impl StateService {
    /// The keys whose comparison fails.
    fn conflicts(&self, transaction: &Transaction) -> Vec<String> {
        let version = |key: &str| self.values.get(key).map_or(0, |stored| stored.version);
        let comparisons = transaction.comparisons.iter();
        let failed = comparisons.filter(|it| version(&it.key) != it.version);
        failed.map(|comparison| comparison.key.clone()).collect()
    }

    fn apply(&mut self, mutation: &Mutation, revision: u64) {
        let (key, value, lease) = match mutation {
            Mutation::Put { key, value, lease } => (key, value, lease),
            Mutation::Delete { key } => return self.delete(key, revision),
        };
        let stored = StoredValue {
            value: value.clone(),
            version: revision,
            lease: *lease,
        };
        self.values.insert(key.clone(), stored);
        match lease {
            Some(_) => self.leased_keys.insert(key.clone()),
            None => self.leased_keys.remove(key),
        };
        let event = WatchEvent::Put {
            key: key.clone(),
            value: value.clone(),
            version: revision,
        };
        self.log.push(LoggedChange { revision, event });
    }
}

impl SimulatedCluster {
    /// By how much a commit is late, if it gets no reply.
    pub(super) fn delay_of_commit(&mut self, transaction: &Transaction) -> Option<Millis> {
        let mut keys = transaction.mutations.iter().map(key_of);
        if let Some(prefix) = self.faults.delay_next_write
            && keys.any(|key| key.starts_with(prefix))
        {
            self.faults.delay_next_write = None;
            return Some(LATE_WRITE_DELAY);
        }
        let number = self.store.commits + 1;
        let delay = 2_000 + number * 1_700 % 10_000;
        number
            .is_multiple_of(self.faults.delay_commit_every)
            .then_some(delay)
    }

    pub(super) fn commit_with_lost_reply(
        &mut self,
        transaction: &Transaction,
    ) -> Result<StoreReply, StoreError> {
        self.store.commits += 1;
        let result = self.commit(transaction);
        let commits = self.store.commits;
        if commits.is_multiple_of(self.faults.lose_commit_reply_every) {
            return Err(StoreError::UnknownOutcome("lost".into()));
        }
        result
    }

    /// Executes a transaction, unless one of its comparisons fails.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> Result<StoreReply, StoreError> {
        self.check_limits(transaction);
        let uses_expired_lease = |mutation: &Mutation| match mutation {
            Mutation::Put { lease, .. } => {
                lease.is_some_and(|lease| self.store.is_expired(lease, self.now))
            }
            Mutation::Delete { .. } => false,
        };
        if transaction.mutations.iter().any(uses_expired_lease) {
            return Err(StoreError::Malformed("no such lease".into()));
        }
        let conflicts = self.store.conflicts(transaction);
        if !conflicts.is_empty() {
            return Err(StoreError::Conflict(conflicts));
        }
        self.check_writes(transaction);
        self.store.revision += 1;
        let revision = self.store.revision;
        for mutation in &transaction.mutations {
            self.store.apply(mutation, revision);
        }
        self.serve_watches();
        Ok(StoreReply::Committed { revision })
    }

    fn check_limits(&self, transaction: &Transaction) {
        let max_mutations = self.max_mutations;
        let max_comparisons = COMPARISONS_PER_MUTATION * max_mutations;
        assert!(
            transaction.mutations.len() <= max_mutations
                && transaction.comparisons.len() <= max_comparisons,
            "over the limits: {transaction:?}"
        );
        let size = encode(transaction).len();
        assert!(
            size < MAX_TRANSACTION_BYTES,
            "a transaction of {size} bytes"
        );
        for mutation in &transaction.mutations {
            if let Mutation::Put { key, value, .. } = mutation {
                let size = records::json_size(value);
                assert!(size <= self.max_value_bytes, "{key} takes {size} bytes");
            }
        }
    }
}
