//! A set of task indices of one job, as a bitmap: cheap for the largest arrays.

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};

/// A set of task indices.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u64,
}

/// Members that a word of the bitmap holds.
const BITS: u32 = u64::BITS;
/// Hexadecimal digits of a word.
const WORD_DIGITS: usize = BITS as usize / 4;

impl TaskSet {
    /// All of `0..tasks`.
    pub fn full(tasks: u32) -> Self {
        let mut words = vec![u64::MAX; (tasks / BITS) as usize];
        if !tasks.is_multiple_of(BITS) {
            words.push((1 << (tasks % BITS)) - 1);
        }
        TaskSet {
            words,
            count: u64::from(tasks),
        }
    }

    /// Whether the index is a member.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / BITS) as usize)
            .is_some_and(|word| word & (1 << (index % BITS)) != 0)
    }

    /// Adds an index; false if it was a member.
    pub fn insert(&mut self, index: u32) -> bool {
        let word = (index / BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (index % BITS);
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.count += u64::from(new);
        new
    }

    /// Removes an index; false if it was no member.
    pub fn remove(&mut self, index: u32) -> bool {
        let was_member = self.contains(index);
        if was_member {
            self.words[(index / BITS) as usize] &= !(1 << (index % BITS));
            self.count -= 1;
        }
        was_member
    }

    /// Number of members.
    pub fn len(&self) -> u64 {
        self.count
    }

    /// Whether it has no members.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The members in order; empty words are skipped.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(position, word)| {
            let mut rest = *word;
            std::iter::from_fn(move || {
                if rest == 0 {
                    return None;
                }
                let bit = rest.trailing_zeros();
                rest &= rest - 1;
                Some(position as u32 * BITS + bit)
            })
        })
    }

    /// That part of the members as hexadecimal text, for the durable record.
    pub fn encode_part(&self, part: u32) -> String {
        let words_per_part = (PROGRESS_RECORD_TASKS / BITS) as usize;
        let start = (part as usize * words_per_part).min(self.words.len());
        let end = (start + words_per_part).min(self.words.len());
        let mut words = &self.words[start..end];
        while let Some((0, rest)) = words.split_last() {
            words = rest;
        }
        words.iter().map(|word| format!("{word:016x}")).collect()
    }

    /// Adds what [`TaskSet::encode_part`] gave, from the index `base` on; indices from `limit` on
    /// are left out. `None` if the text is not such a part.
    pub fn insert_encoded_part(&mut self, base: u32, text: &str, limit: u32) -> Option<()> {
        let covered_tasks = text.len() as u32 * 4;
        if !text.is_ascii()
            || !text.len().is_multiple_of(WORD_DIGITS)
            || covered_tasks > LEGACY_PROGRESS_RECORD_TASKS
        {
            return None;
        }
        for position in 0..text.len() / WORD_DIGITS {
            let digits = &text[position * WORD_DIGITS..(position + 1) * WORD_DIGITS];
            let mut word = u64::from_str_radix(digits, 16).ok()?;
            while word != 0 {
                let index = base + position as u32 * BITS + word.trailing_zeros();
                word &= word - 1;
                if index < limit {
                    self.insert(index);
                }
            }
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
