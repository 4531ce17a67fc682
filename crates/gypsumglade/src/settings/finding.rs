//! Errors found in a settings file, collected so that they are reported together.

use std::fmt;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use gypsumglade_core::prelude::*;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Key path such as `listen.callers`, or a position such as `line 3, column 5`.
    pub place: CompactString,
    /// The value found there, or a description of it such as `nothing` or `a list`.
    pub value: CompactString,
    /// Description of the accepted values.
    pub allowed: CompactString,
}

/// All errors found in one settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// The file that was checked.
    pub file: PathBuf,
    /// The errors, in the order in which they were found.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list for `file`.
    pub fn new(file: &Path) -> Findings {
        Findings { file: file.to_path_buf(), list: Vec::new() }
    }

    /// Adds a finding for the key path or position `place`.
    pub fn add(&mut self, place: &str, value: impl fmt::Display, allowed: &str) {
        self.list.push(Finding {
            place: place.into(),
            value: value.to_compact_string(),
            allowed: allowed.into(),
        });
    }

    /// Adds a finding if `value` is outside `range`; `unit` is printed after the bounds.
    pub fn check_range(&mut self, place: &str, value: u64, range: RangeInclusive<u64>, unit: &str) {
        if range.contains(&value) {
            return;
        }
        self.add(place, value, &format!("{} to {} {unit}", range.start(), range.end()));
    }

    /// Adds a finding if `value` is empty, too long, or has characters that would need escaping in
    /// log fields, metric labels and headers.
    pub fn check_name(&mut self, place: &str, value: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.chars().all(plain) {
            return;
        }
        let allowed = "1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'";
        self.add(place, format_args!("{value:?}"), allowed);
    }
}

/// Maximum length of a name, in bytes.
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
