//! Final job states this node has seen: they never change, so they need no fresh read.

use crate::wire::user::JobState;
use std::collections::{HashMap, VecDeque};

pub struct Finals {
    most: usize,
    states: HashMap<String, (JobState, u64)>,
    /// Oldest first.
    order: VecDeque<String>,
}

impl Finals {
    pub fn new(most: usize) -> Self {
        Finals {
            most,
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn get(&self, id: &str) -> Option<(JobState, u64)> {
        self.states.get(id).copied()
    }

    pub fn insert(&mut self, id: &str, state: JobState, tasks: u64) {
        if self.states.insert(id.to_owned(), (state, tasks)).is_none() {
            self.order.push_back(id.to_owned());
        }
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_is_dropped() {
        let mut finals = Finals::new(2);
        for id in ["a", "b", "b", "c"] {
            finals.insert(id, JobState::Done, 1);
        }
        assert_eq!(finals.get("a"), None);
        assert_eq!(finals.get("b"), Some((JobState::Done, 1)));
        assert_eq!(finals.states.len(), 2);
    }
}
