//! Fixture tables under `tests/fixtures`, which have one case per line: `name: value`.
//!
//! A value is text, or bytes as hexadecimal digits. A test takes each case once and then calls
//! [`FixtureTable::finish`], which fails if a case was not taken.

use std::collections::BTreeMap;

/// The cases of a fixture table that the test has not taken yet.
pub(crate) struct FixtureTable {
    path: String,
    cases: BTreeMap<String, String>,
}

impl FixtureTable {
    /// Reads the table at a path relative to `tests/fixtures`.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be read, a line has no `: `, or two cases have the same name.
    pub(crate) fn open(path: &str) -> Self {
        let file = format!("{}/tests/fixtures/{path}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&file).unwrap();
        let mut cases = BTreeMap::new();
        for line in text.lines() {
            let (name, value) = line.split_once(": ").unwrap();
            let previous = cases.insert(name.to_owned(), value.to_owned());
            assert_eq!(previous, None, "{path}: two cases have the name {name}");
        }
        FixtureTable {
            path: path.to_owned(),
            cases,
        }
    }

    /// Removes a case and returns its text.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such case or the case was already taken.
    pub(crate) fn take_text(&mut self, name: &str) -> String {
        let text = self.cases.remove(name);
        text.unwrap_or_else(|| {
            panic!(
                "{}: case {name} does not exist or was already taken",
                self.path
            )
        })
    }

    /// Removes a case and returns the bytes that its hexadecimal digits encode.
    ///
    /// # Panics
    ///
    /// Panics if the case can't be taken or its value is not an even number of hexadecimal digits.
    pub(crate) fn take_bytes(&mut self, name: &str) -> Vec<u8> {
        let digits = self.take_text(name);
        assert!(
            digits.len().is_multiple_of(2),
            "{name}: odd number of hexadecimal digits"
        );
        (0..digits.len())
            .step_by(2)
            .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
            .collect()
    }

    /// Asserts that every case was taken.
    pub(crate) fn finish(self) {
        let unchecked: Vec<String> = self.cases.into_keys().collect();
        assert!(
            unchecked.is_empty(),
            "{}: cases not checked: {unchecked:?}",
            self.path
        );
    }
}
