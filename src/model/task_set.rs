//! A set of task indices of one job, stored as a bitmap so that it stays compact for the largest
//! arrays.

use crate::constants::{LEGACY_PROGRESS_RECORD_TASKS, PROGRESS_RECORD_TASKS};

/// A set of task indices of one job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u64,
}

/// Number of indices that one word of the bitmap covers.
const BITS_PER_WORD: u32 = u64::BITS;
/// Number of hexadecimal digits that encode one word.
const HEX_DIGITS_PER_WORD: usize = BITS_PER_WORD as usize / 4;

impl TaskSet {
    /// Returns the set of all indices in `0..tasks`.
    pub fn full(tasks: u32) -> Self {
        let mut words = vec![u64::MAX; (tasks / BITS_PER_WORD) as usize];
        if !tasks.is_multiple_of(BITS_PER_WORD) {
            words.push((1 << (tasks % BITS_PER_WORD)) - 1);
        }
        TaskSet {
            words,
            count: u64::from(tasks),
        }
    }

    /// Reports whether the index is a member.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / BITS_PER_WORD) as usize)
            .is_some_and(|word| word & (1 << (index % BITS_PER_WORD)) != 0)
    }

    /// Adds an index and reports whether it was not yet a member.
    pub fn insert(&mut self, index: u32) -> bool {
        let word = (index / BITS_PER_WORD) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (index % BITS_PER_WORD);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.count += u64::from(is_new);
        is_new
    }

    /// Removes an index and reports whether it was a member.
    pub fn remove(&mut self, index: u32) -> bool {
        let was_member = self.contains(index);
        if was_member {
            self.words[(index / BITS_PER_WORD) as usize] &= !(1 << (index % BITS_PER_WORD));
            self.count -= 1;
        }
        was_member
    }

    /// Returns the number of members.
    pub fn len(&self) -> u64 {
        self.count
    }

    /// Reports whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Iterates over the members in ascending order, skipping empty words of the bitmap.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(position, word)| {
            let mut remaining = *word;
            std::iter::from_fn(move || {
                if remaining == 0 {
                    return None;
                }
                let bit = remaining.trailing_zeros();
                remaining &= remaining - 1;
                Some(position as u32 * BITS_PER_WORD + bit)
            })
        })
    }

    /// Encodes one part of the set as hexadecimal text for a durable progress record.
    ///
    /// A part covers [`PROGRESS_RECORD_TASKS`] indices; `part` counts from 0. Each word of the
    /// bitmap takes 16 digits, and trailing empty words are left out.
    pub fn encode_part(&self, part: u32) -> String {
        let words_per_part = (PROGRESS_RECORD_TASKS / BITS_PER_WORD) as usize;
        let start = (part as usize * words_per_part).min(self.words.len());
        let end = (start + words_per_part).min(self.words.len());
        let mut words = &self.words[start..end];
        while let Some((0, leading)) = words.split_last() {
            words = leading;
        }
        words.iter().map(|word| format!("{word:016x}")).collect()
    }

    /// Decodes text that [`TaskSet::encode_part`] returned and adds its members.
    ///
    /// `first_index` is the index that the first bit of the text stands for; indices of `limit` and
    /// above are ignored. Returns `None` if the text is not ASCII, does not consist of whole words
    /// of hexadecimal digits, or covers more than [`LEGACY_PROGRESS_RECORD_TASKS`] indices. If the
    /// text has a word with other characters, the members of the words before it have been added.
    pub fn insert_encoded_part(&mut self, first_index: u32, text: &str, limit: u32) -> Option<()> {
        let covered_tasks = text.len() as u32 * 4;
        if !text.is_ascii()
            || !text.len().is_multiple_of(HEX_DIGITS_PER_WORD)
            || covered_tasks > LEGACY_PROGRESS_RECORD_TASKS
        {
            return None;
        }
        for position in 0..text.len() / HEX_DIGITS_PER_WORD {
            let digits =
                &text[position * HEX_DIGITS_PER_WORD..(position + 1) * HEX_DIGITS_PER_WORD];
            let mut word = u64::from_str_radix(digits, 16).ok()?;
            while word != 0 {
                let index = first_index + position as u32 * BITS_PER_WORD + word.trailing_zeros();
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
