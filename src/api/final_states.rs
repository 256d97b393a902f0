//! A cache of final states: they never change, so they need no fresh read.

use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::engine::FinalRecord;
use crate::wire::user::JobState;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FinalState {
    /// Done or cancelled.
    pub(super) state: JobState,
    /// Number of the job's tasks.
    pub(super) tasks: u64,
}

impl FinalState {
    /// The state of a cancelled job with that many tasks.
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

/// Final states by job id, of the jobs that were seen last.
pub(super) struct FinalStateCache {
    states: Mutex<BoundedMap<String, FinalState>>,
}

impl FinalStateCache {
    pub(super) fn new() -> Self {
        let states = BoundedMap::new(constants::FINAL_STATE_CACHE_ENTRIES);
        FinalStateCache {
            states: Mutex::new(states),
        }
    }

    /// How the job ended, if that is known here.
    pub(super) fn get(&self, id: &str) -> Option<FinalState> {
        self.lock().get(id).copied()
    }

    /// Remembers how a job ended.
    pub(super) fn insert(&self, id: &str, final_state: FinalState) {
        self.lock().insert(id.to_owned(), final_state);
    }

    /// The map is whole between two calls, also after a panic.
    fn lock(&self) -> MutexGuard<'_, BoundedMap<String, FinalState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
