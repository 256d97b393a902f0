//! A bounded memory: past its size, what came first is forgotten.

use std::borrow::Borrow;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
pub struct BoundedMap<K, V> {
    most: usize,
    values: BTreeMap<K, V>,
    /// Oldest first.
    order: VecDeque<K>,
}

impl<K: Ord + Clone, V> BoundedMap<K, V> {
    pub fn new(most: usize) -> Self {
        BoundedMap {
            most,
            values: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key)
    }

    pub fn insert(&mut self, key: K, value: V) {
        if self.values.insert(key.clone(), value).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.values.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
