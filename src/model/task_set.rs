//! A set of task numbers of one job, as a bitmap: cheap for the largest arrays.

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u64,
}

const BITS: u32 = u64::BITS;

impl TaskSet {
    /// All of `0..n`.
    pub fn full(n: u32) -> Self {
        let mut words = vec![u64::MAX; (n / BITS) as usize];
        if !n.is_multiple_of(BITS) {
            words.push((1 << (n % BITS)) - 1);
        }
        TaskSet {
            words,
            count: u64::from(n),
        }
    }

    pub fn contains(&self, i: u32) -> bool {
        self.words
            .get((i / BITS) as usize)
            .is_some_and(|w| w & (1 << (i % BITS)) != 0)
    }

    /// Adds `i`; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        let word = (i / BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (i % BITS);
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.count += u64::from(new);
        new
    }

    /// Removes `i`; false if it was not there.
    pub fn remove(&mut self, i: u32) -> bool {
        let there = self.contains(i);
        if there {
            self.words[(i / BITS) as usize] &= !(1 << (i % BITS));
            self.count -= 1;
        }
        there
    }

    pub fn len(&self) -> u64 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The members in order; empty words are skipped.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(at, word)| {
            let mut rest = *word;
            std::iter::from_fn(move || {
                if rest == 0 {
                    return None;
                }
                let bit = rest.trailing_zeros();
                rest &= rest - 1;
                Some(at as u32 * BITS + bit)
            })
        })
    }

    /// That part of the members as hexadecimal text, for the durable record.
    pub fn part_text(&self, part: u32) -> String {
        let per = (PROGRESS_RECORD_TASKS / BITS) as usize;
        let from = (part as usize * per).min(self.words.len());
        let to = (from + per).min(self.words.len());
        let mut words = &self.words[from..to];
        while let Some((0, rest)) = words.split_last() {
            words = rest;
        }
        words.iter().map(|w| format!("{w:016x}")).collect()
    }

    /// Adds what [`TaskSet::part_text`] gave, from the number `base` on; numbers from `limit` on
    /// are left out. `None` if the text is not such a part.
    pub fn add_text(&mut self, base: u32, text: &str, limit: u32) -> Option<()> {
        if !text.is_ascii()
            || !text.len().is_multiple_of(16)
            || text.len() as u32 * 4 > LEGACY_PROGRESS_RECORD_TASKS
        {
            return None;
        }
        for at in 0..text.len() / 16 {
            let mut word = u64::from_str_radix(&text[at * 16..at * 16 + 16], 16).ok()?;
            while word != 0 {
                let i = base + at as u32 * BITS + word.trailing_zeros();
                word &= word - 1;
                if i < limit {
                    self.insert(i);
                }
            }
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
