//! A map of bounded size that drops its oldest entry for a new one.
//!
//! No library has it: the caches there drop the entry that was used least recently or least often,
//! while here an entry's age counts from its first insertion, and neither reading nor replacing it
//! keeps it longer.

use std::borrow::Borrow;
use std::collections::{BTreeMap, VecDeque};

/// A map that holds at most `capacity` entries. The keys in `insertion_order` are those of
/// `values`.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    values: BTreeMap<K, V>,
    /// Oldest first.
    insertion_order: VecDeque<K>,
}

impl<K: Ord + Clone, V> BoundedMap<K, V> {
    /// An empty map.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            values: BTreeMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// The value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key)
    }

    /// Sets the value of a key. If the map is full and the key is new, the oldest entry is
    /// dropped.
    pub fn insert(&mut self, key: K, value: V) {
        if self.values.insert(key.clone(), value).is_none() {
            self.insertion_order.push_back(key);
        }
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.values.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
