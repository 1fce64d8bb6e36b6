//! Findings: faults of an input, each with its place, collected and reported together.

use std::error;
use std::fmt;
use std::fs;
use std::path;

/// Where in an input a finding lies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// The input's name, usually a file.
    pub file: String,
    /// Line, from 1; 0 if unknown.
    pub line: u64,
    /// Column, from 1; 0 if unknown.
    pub column: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One fault and the way to mend it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where it lies.
    pub place: Place,
    /// What is wrong.
    pub fault: String,
    /// What to do about it.
    pub mend: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.place, self.fault, self.mend)
    }
}

/// All findings of one input.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds one finding.
    pub fn add(&mut self, place: Place, fault: impl Into<String>, mend: impl Into<String>) {
        self.0.push(Finding {
            place,
            fault: fault.into(),
            mend: mend.into(),
        });
    }

    /// `value` if there is no finding.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

/// Reads a file of text that is to be checked.
///
/// # Errors
///
/// One finding if it can't be read; `mend` is the way out.
pub fn read_file(file: &path::Path, mend: &str) -> Result<String, Findings> {
    fs::read_to_string(file).map_err(|e| {
        let mut findings = Findings::default();
        let file = file.display().to_string();
        let place = Place {
            file,
            ..Place::default()
        };
        findings.add(place, format!("can't be read: {e}"), mend);
        findings
    })
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl error::Error for Findings {}
