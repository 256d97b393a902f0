//! A cache of jobs' final states, which never change and so need no fresh read.

use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::engine::FinalRecord;
use crate::wire::user::JobState;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FinalState {
    /// The state in which the job ended: done or cancelled.
    pub(super) state: JobState,
    /// Number of the job's tasks.
    pub(super) tasks: u64,
}

impl FinalState {
    /// Returns the final state of a cancelled job that has this number of tasks.
    pub(super) fn cancelled(tasks: u64) -> Self {
        FinalState {
            state: JobState::Cancelled,
            tasks,
        }
    }
}

impl From<FinalRecord> for FinalState {
    fn from(record: FinalRecord) -> Self {
        FinalState {
            state: record.state,
            tasks: record.tasks,
        }
    }
}

impl From<FinalState> for FinalRecord {
    fn from(final_state: FinalState) -> Self {
        FinalRecord {
            state: final_state.state,
            tasks: final_state.tasks,
        }
    }
}

/// A bounded cache of final states by job id, which drops the oldest entry for a new one.
pub(super) struct FinalStateCache {
    states: Mutex<BoundedMap<String, FinalState>>,
}

impl FinalStateCache {
    /// Creates an empty cache.
    pub(super) fn new() -> Self {
        let states = BoundedMap::new(constants::FINAL_STATE_CACHE_ENTRIES);
        FinalStateCache {
            states: Mutex::new(states),
        }
    }

    /// Returns the final state of a job, if it is cached.
    pub(super) fn get(&self, id: &str) -> Option<FinalState> {
        self.lock().get(id).copied()
    }

    /// Caches the final state of a job.
    pub(super) fn insert(&self, id: &str, final_state: FinalState) {
        self.lock().insert(id.to_owned(), final_state);
    }

    /// Locks the map. A poisoned lock is accepted: the map is consistent between its calls, so a
    /// panic while the lock was held leaves it usable.
    fn lock(&self) -> MutexGuard<'_, BoundedMap<String, FinalState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
