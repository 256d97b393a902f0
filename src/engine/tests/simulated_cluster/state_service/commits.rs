//! Transactions: comparisons, limits, and commits that are delayed or whose reply is lost.

use super::super::{Millis, SimulatedCluster};
use super::{LoggedChange, StateService, StoredValue};
use crate::engine::records;
use crate::store::{StoreError, StoreReply};
use crate::wire::encode;
use crate::wire::store::{Mutation, Transaction, WatchEvent};

/// Delay of the commit that `Faults::delay_next_write` selects.
const LATE_WRITE_DELAY: Millis = 12_000;
/// The protocol's limit on the size of an encoded transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Ratio of the limit on a transaction's comparisons to the limit on its mutations.
const COMPARISONS_PER_MUTATION: usize = 4;

fn key_of(mutation: &Mutation) -> &str {
    match mutation {
        Mutation::Put { key, .. } | Mutation::Delete { key } => key,
    }
}

impl StateService {
    /// Returns the keys whose comparison fails.
    fn conflicts(&self, transaction: &Transaction) -> Vec<String> {
        let version = |key: &str| self.values.get(key).map_or(0, |stored| stored.version);
        let comparisons = transaction.comparisons.iter();
        let failed =
            comparisons.filter(|comparison| version(&comparison.key) != comparison.version);
        failed.map(|comparison| comparison.key.clone()).collect()
    }

    /// Applies a mutation and logs the change.
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
    /// Returns the delay of a commit if a fault selects it for late execution without a reply.
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

    /// Commits a transaction. Every nth reply is lost, as set by
    /// `Faults::lose_commit_reply_every`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::UnknownOutcome`] if the reply is lost, otherwise the errors of
    /// [`SimulatedCluster::commit`].
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

    /// Applies a transaction if all of its comparisons hold.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the transaction uses a lease that does not exist or has
    /// expired, and [`StoreError::Conflict`] with the failed keys if a comparison fails.
    ///
    /// # Panics
    ///
    /// Panics if the transaction exceeds a limit of the state service.
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

    /// Asserts that a transaction is within the limits of the state service.
    fn check_limits(&self, transaction: &Transaction) {
        let max_mutations = self.max_mutations;
        let max_comparisons = COMPARISONS_PER_MUTATION * max_mutations;
        assert!(
            transaction.mutations.len() <= max_mutations
                && transaction.comparisons.len() <= max_comparisons,
            "too many mutations or comparisons: {transaction:?}"
        );
        let size = encode(transaction).len();
        assert!(
            size < MAX_TRANSACTION_BYTES,
            "transaction too large: {size} bytes"
        );
        for mutation in &transaction.mutations {
            if let Mutation::Put { key, value, .. } = mutation {
                let size = records::json_size(value);
                assert!(
                    size <= self.max_value_bytes,
                    "value of {key} too large: {size} bytes"
                );
            }
        }
    }
}
