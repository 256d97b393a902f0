//! A map of bounded size with first-in, first-out eviction.
//!
//! No cache library has this eviction order: they evict the entry that was used least recently or
//! least often. In this map, the age of an entry counts from its first insertion. Neither reading
//! an entry nor replacing its value keeps the entry longer.

use std::borrow::Borrow;
use std::collections::{BTreeMap, VecDeque};

/// A map that holds at most `capacity` entries and evicts the oldest one for a new one.
/// `insertion_order` always contains exactly the keys of `values`.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    values: BTreeMap<K, V>,
    /// The keys in the order of their first insertion, oldest first.
    insertion_order: VecDeque<K>,
}

impl<K: Ord + Clone, V> BoundedMap<K, V> {
    /// Creates an empty map that holds at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            values: BTreeMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Returns the value of a key, if the map contains the key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key)
    }

    /// Sets the value of a key. If the map is full and the key is new, the oldest entry is
    /// evicted.
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
