//! Findings of a settings check, collected and reported together.

use std::fmt;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use gypsumglade_core::prelude::*;

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Place in the file: a key path such as `listen.callers`, or `line 3, column 5`.
    pub place: CompactString,
    /// The value found there, or a short word for it when it is absent or unknown.
    pub value: CompactString,
    /// What would be accepted instead.
    pub allowed: CompactString,
}

/// Every finding of one settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// The file that was checked.
    pub file: PathBuf,
    /// What is wrong in it, in the order in which it was found.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Starts a check of `file` with nothing found.
    pub fn new(file: &Path) -> Findings {
        Findings { file: file.to_path_buf(), list: Vec::new() }
    }

    /// Adds a finding.
    pub fn add(&mut self, place: &str, value: impl fmt::Display, allowed: &str) {
        self.list.push(Finding {
            place: place.into(),
            value: value.to_compact_string(),
            allowed: allowed.into(),
        });
    }

    /// Adds a finding if `value` lies outside `range`; `unit` names what it counts.
    pub fn check_range(&mut self, place: &str, value: u64, range: RangeInclusive<u64>, unit: &str) {
        if range.contains(&value) {
            return;
        }
        self.add(place, value, &format!("{} to {} {unit}", range.start(), range.end()));
    }

    /// Adds a finding if `value` is not a plain name.
    ///
    /// Names go into log fields, metric labels and headers, where other characters would need
    /// escapes.
    pub fn check_name(&mut self, place: &str, value: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.chars().all(plain) {
            return;
        }
        let allowed = "1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'";
        self.add(place, format_args!("{value:?}"), allowed);
    }
}

/// Longest name of a failure domain or region, in bytes.
const MAX_NAME_BYTES: usize = 64;

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            let Finding { place, value, allowed } = finding;
            write!(f, "{file}: {place}: found {value}; allowed: {allowed}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
