//! Reads callgrind profiles: instructions and calls per function.

use std::collections::BTreeMap;
use std::path::Path;

/// The cost of one function.
#[derive(Debug, Default, Clone)]
pub(crate) struct FunctionCost {
    /// Instructions in the function itself.
    pub(crate) exclusive: u64,
    /// Instructions in the function and its callees. Too high for recursive functions.
    pub(crate) inclusive: u64,
    /// Number of calls of the function.
    pub(crate) calls: u64,
}

/// The profile of one phase.
#[derive(Debug, Default)]
pub(crate) struct Profile {
    pub(crate) functions: BTreeMap<String, FunctionCost>,
}

impl Profile {
    /// Reads a profile that was written without compression of names and positions.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file can't be read.
    pub(crate) fn read(file: &Path) -> std::io::Result<Profile> {
        let text = String::from_utf8_lossy(&std::fs::read(file)?).into_owned();
        let mut profile = Profile::default();
        let mut function = String::new();
        let mut callee = String::new();
        let mut is_callee_cost = false;
        for line in text.lines() {
            if let Some(name) = line.strip_prefix("fn=") {
                function = name.to_owned();
            } else if let Some(name) = line.strip_prefix("cfn=") {
                callee = name.to_owned();
            } else if let Some(calls) = line.strip_prefix("calls=") {
                let count = calls.split_whitespace().next();
                let count = count.and_then(|count| count.parse().ok()).unwrap_or(0);
                profile.cost_mut(&callee).calls += count;
                is_callee_cost = true;
            } else if let Some(cost) = parse_cost(line) {
                if is_callee_cost {
                    profile.cost_mut(&callee).inclusive += cost;
                    is_callee_cost = false;
                } else {
                    profile.cost_mut(&function).exclusive += cost;
                }
            }
        }
        Ok(profile)
    }

    fn cost_mut(&mut self, name: &str) -> &mut FunctionCost {
        self.functions.entry(name.to_owned()).or_default()
    }

    /// Returns the instructions of all functions.
    pub(crate) fn total_instructions(&self) -> u64 {
        self.functions.values().map(|cost| cost.exclusive).sum()
    }

    /// Returns the number of calls of the functions with these names.
    pub(crate) fn call_count(&self, names: &[&str]) -> u64 {
        let functions = names.iter().filter_map(|name| self.functions.get(*name));
        functions.map(|cost| cost.calls).sum()
    }

    /// Returns the functions whose names contain `text`, in descending order of inclusive cost.
    pub(crate) fn by_inclusive_cost(&self, text: &str) -> Vec<(&str, &FunctionCost)> {
        let mut matching: Vec<_> = self
            .functions
            .iter()
            .filter(|(name, _)| name.contains(text))
            .map(|(name, cost)| (name.as_str(), cost))
            .collect();
        matching.sort_by_key(|(_, cost)| std::cmp::Reverse(cost.inclusive));
        matching
    }
}

/// Parses the instructions of a cost line, which begins with a position. Returns `None` for other
/// lines.
fn parse_cost(line: &str) -> Option<u64> {
    let mut fields = line.split_whitespace();
    fields.next()?.parse::<i64>().ok()?;
    fields.next()?.parse().ok()
}
