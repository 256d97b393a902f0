//! Reads callgrind's profiles: instructions and calls by function.

use std::collections::BTreeMap;
use std::path::Path;

/// What one function cost.
#[derive(Debug, Default, Clone)]
pub(crate) struct FunctionCost {
    /// Instructions of its own.
    pub(crate) own: u64,
    /// Instructions with those that it called. Too high for functions that call themselves.
    pub(crate) inclusive: u64,
    /// How often it was called.
    pub(crate) calls: u64,
}

/// A profile of one phase.
#[derive(Debug, Default)]
pub(crate) struct Profile {
    pub(crate) functions: BTreeMap<String, FunctionCost>,
}

impl Profile {
    /// Reads a profile written without compression of names and positions.
    pub(crate) fn read(file: &Path) -> std::io::Result<Profile> {
        let text = String::from_utf8_lossy(&std::fs::read(file)?).into_owned();
        let mut profile = Profile::default();
        let mut function = String::new();
        let mut callee = String::new();
        let mut after_calls = false;
        for line in text.lines() {
            if let Some(name) = line.strip_prefix("fn=") {
                function = name.to_owned();
            } else if let Some(name) = line.strip_prefix("cfn=") {
                callee = name.to_owned();
            } else if let Some(calls) = line.strip_prefix("calls=") {
                let count = calls.split_whitespace().next();
                let count = count.and_then(|count| count.parse().ok()).unwrap_or(0);
                profile.of(&callee).calls += count;
                after_calls = true;
            } else if let Some(cost) = cost_of(line) {
                if after_calls {
                    profile.of(&callee).inclusive += cost;
                    after_calls = false;
                } else {
                    profile.of(&function).own += cost;
                }
            }
        }
        Ok(profile)
    }

    fn of(&mut self, name: &str) -> &mut FunctionCost {
        self.functions.entry(name.to_owned()).or_default()
    }

    /// All instructions.
    pub(crate) fn total(&self) -> u64 {
        self.functions.values().map(|cost| cost.own).sum()
    }

    /// Calls of functions with one of these names.
    pub(crate) fn calls_of(&self, names: &[&str]) -> u64 {
        let functions = names.iter().filter_map(|name| self.functions.get(*name));
        functions.map(|cost| cost.calls).sum()
    }

    /// The functions whose names contain the text, by their inclusive cost, highest first.
    pub(crate) fn inclusive_of(&self, text: &str) -> Vec<(&str, &FunctionCost)> {
        let mut found: Vec<_> = self
            .functions
            .iter()
            .filter(|(name, _)| name.contains(text))
            .map(|(name, cost)| (name.as_str(), cost))
            .collect();
        found.sort_by_key(|(_, cost)| std::cmp::Reverse(cost.inclusive));
        found
    }
}

/// The instructions of a line that begins with a position.
fn cost_of(line: &str) -> Option<u64> {
    let mut fields = line.split_whitespace();
    fields.next()?.parse::<i64>().ok()?;
    fields.next()?.parse().ok()
}
