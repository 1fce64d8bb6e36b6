//! Diagnostics: errors in an input file, each with its location, collected and reported together.

use std::error;
use std::fmt;
use std::fs;
use std::io::{self, Read as _};
use std::path;

/// Position of a diagnostic in an input file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Location {
    /// Name of the input, usually a file path.
    pub file: String,
    /// Line number, starting at 1; 0 if unknown.
    pub line: u64,
    /// Column number, starting at 1; 0 if unknown.
    pub column: u64,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in an input, with a hint on how to correct it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// Where in the input the error is.
    pub location: Location,
    /// Description of the error.
    pub message: String,
    /// How to correct the error.
    pub hint: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.location, self.message, self.hint)
    }
}

/// All diagnostics of one input.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Appends a diagnostic.
    pub fn add(&mut self, location: Location, message: impl Into<String>, hint: impl Into<String>) {
        self.0.push(Diagnostic {
            location,
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Returns `value` if no diagnostic was added.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

/// Size up to which files are read.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

fn read_bounded(file: &path::Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    let file = fs::File::open(file)?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        let message = format!("it is larger than {MAX_FILE_BYTES} bytes");
        return Err(io::Error::other(message));
    }
    String::from_utf8(bytes).map_err(|_| io::Error::other("it is no UTF-8 text"))
}

/// Reads a text file into a string.
///
/// # Errors
///
/// Returns one diagnostic with `hint` if the file can't be read, is no UTF-8 text or is larger than
/// [`MAX_FILE_BYTES`].
pub fn read_file(file: &path::Path, hint: &str) -> Result<String, Diagnostics> {
    read_bounded(file).map_err(|e| {
        let mut diagnostics = Diagnostics::default();
        let file = file.display().to_string();
        let location = Location {
            file,
            ..Location::default()
        };
        diagnostics.add(location, format!("can't be read: {e}"), hint);
        diagnostics
    })
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl error::Error for Diagnostics {}
