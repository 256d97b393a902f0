//! Tables of fixtures under `tests/fixtures`: one case a line, `name: value`.
//!
//! A value is text, or bytes as hexadecimal digits. A test takes each case once and in the end calls
//! [`FixtureTable::finish`], so that no line stays unchecked.

use std::collections::BTreeMap;

/// The cases of one table that were not taken yet.
pub(crate) struct FixtureTable {
    path: String,
    cases: BTreeMap<String, String>,
}

impl FixtureTable {
    /// Reads a table, by its path below `tests/fixtures`.
    pub(crate) fn open(path: &str) -> Self {
        let file = format!("{}/tests/fixtures/{path}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&file).unwrap();
        let mut cases = BTreeMap::new();
        for line in text.lines() {
            let (name, value) = line.split_once(": ").unwrap();
            let earlier = cases.insert(name.to_owned(), value.to_owned());
            assert_eq!(earlier, None, "{path}: two cases are called {name}");
        }
        FixtureTable {
            path: path.to_owned(),
            cases,
        }
    }

    /// Takes the text of a case.
    pub(crate) fn take_text(&mut self, name: &str) -> String {
        let text = self.cases.remove(name);
        text.unwrap_or_else(|| panic!("{}: no case {name}, or taken twice", self.path))
    }

    /// Takes the bytes of a case.
    pub(crate) fn take_bytes(&mut self, name: &str) -> Vec<u8> {
        let digits = self.take_text(name);
        assert!(digits.len().is_multiple_of(2), "{name}: half a byte");
        (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
            .collect()
    }

    /// Checks that every case was taken.
    pub(crate) fn finish(self) {
        let left: Vec<String> = self.cases.into_keys().collect();
        assert!(left.is_empty(), "{}: not checked: {left:?}", self.path);
    }
}
