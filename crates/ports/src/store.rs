//! The key-value service: compare-and-swap and watches.
//!
//! Every call counts against the service's rates, a waiting watch as one.

use std::error;
use std::fmt;

use base::clock;
use serde::{Deserialize, Serialize};

/// The largest value the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; `None` in a watch for a deleted key. Text in base64 on the wire.
    #[serde(with = "value_text")]
    pub value: Option<Vec<u8>>,
    /// The service's revision of the last write to this key.
    pub revision: u64,
}

impl Entry {
    /// The value's bytes, empty for a deleted key.
    pub fn bytes(&self) -> &[u8] {
        self.value.as_deref().unwrap_or_default()
    }
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// Anything.
    Any,
    /// No such key.
    Absent,
    /// The key at this revision.
    Revision(u64),
}

/// What a watch saw.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Watch again after this revision.
    pub revision: u64,
    /// The last write of each key changed since.
    pub entries: Vec<Entry>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The key was not as expected; the call had no effect. Holds what was found.
    Conflict(Option<Entry>),
    /// The service could not be reached or refused; the call had no effect.
    Down,
    /// No answer came; a write may have taken effect.
    Unknown,
    /// Over the service's rate; the call had no effect.
    Limited,
    /// The value is too large; the call had no effect.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict(_) => "the key has changed",
            Self::Down => "the store can't be reached",
            Self::Unknown => "the store gave no answer; the write may have taken effect",
            Self::Limited => "the store's rate limit is reached",
            Self::TooLarge => "the value passes the store's limit",
        })
    }
}

impl error::Error for Error {}

/// The key-value service.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but `Conflict` and `TooLarge`.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Writes one key and returns the new revision.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after `Unknown` the write may have taken effect.
    fn put(&self, key: &str, value: &[u8], expect: Expect) -> Result<u64, Error>;

    /// Removes one key; removing an absent key with [`Expect::Any`] succeeds.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after `Unknown` the key may be gone.
    fn delete(&self, key: &str, expect: Expect) -> Result<(), Error>;

    /// Up to `limit` keys that start with `prefix` and sort after `after`, in order.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but `Conflict` and `TooLarge`.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, Error>;

    /// Waits up to `wait` for a write under `prefix` after revision `after`.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but `Conflict` and `TooLarge`.
    fn watch(&self, prefix: &str, after: u64, wait: clock::Millis) -> Result<Changes, Error>;
}

/// What came of creating a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Created {
    /// The key holds the caller's value, written now or by an earlier try; at this revision.
    Mine(u64),
    /// The key holds another value.
    Other(Entry),
}

/// Creates `key` if it is absent, and reads it back when the answer is lost.
///
/// `value` must hold a mark that no other writer uses: equal bytes count as the caller's own.
///
/// # Errors
///
/// `Unknown` if the outcome could not be read back either; other [`Error`]s had no effect.
pub fn create(store: &dyn Store, key: &str, value: &[u8]) -> Result<Created, Error> {
    match store.put(key, value, Expect::Absent) {
        Ok(revision) => Ok(Created::Mine(revision)),
        Err(Error::Conflict(Some(found))) => Ok(judge(found, value)),
        Err(Error::Conflict(None)) => Err(Error::Unknown),
        Err(Error::Unknown) => read_back(store, key, value),
        Err(e) => Err(e),
    }
}

fn read_back(store: &dyn Store, key: &str, value: &[u8]) -> Result<Created, Error> {
    match store.get(key) {
        Ok(Some(found)) => Ok(judge(found, value)),
        Ok(None) | Err(_) => Err(Error::Unknown),
    }
}

fn judge(found: Entry, value: &[u8]) -> Created {
    if found.bytes() == value {
        return Created::Mine(found.revision);
    }
    Created::Other(found)
}

/// Replaces `key` at `revision`, and reads it back when the answer is lost.
///
/// # Errors
///
/// As [`create`]; `Conflict` if another writer was first.
pub fn replace(store: &dyn Store, key: &str, value: &[u8], revision: u64) -> Result<u64, Error> {
    let found = match store.put(key, value, Expect::Revision(revision)) {
        Err(Error::Unknown) => store.get(key).map_err(|_| Error::Unknown)?,
        Err(Error::Conflict(found)) => found,
        done => return done,
    };
    match found {
        Some(e) if e.bytes() == value => Ok(e.revision),
        Some(e) if e.revision == revision => Err(Error::Unknown),
        other => Err(Error::Conflict(other)),
    }
}

mod value_text {
    //! Values as base64 text.

    use base64::Engine as _;
    use base64::engine::general_purpose;
    use serde::{Deserialize as _, Serialize as _, de};

    pub(super) fn serialize<S: serde::Serializer>(
        value: &Option<Vec<u8>>,
        s: S,
    ) -> Result<S::Ok, S::Error> {
        let text = value
            .as_ref()
            .map(|bytes| general_purpose::STANDARD.encode(bytes));
        text.serialize(s)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        d: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let Some(text) = Option::<String>::deserialize(d)? else {
            return Ok(None);
        };
        let bytes = general_purpose::STANDARD
            .decode(text)
            .map_err(de::Error::custom)?;
        Ok(Some(bytes))
    }
}
