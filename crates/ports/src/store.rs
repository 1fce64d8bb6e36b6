//! Interface to the key-value store, with compare-and-swap writes and watches.
//!
//! Every call counts against the store's rate limits; a watch counts as one call however long it
//! waits.

use std::error;
use std::fmt;

use base::clock;
use serde::{Deserialize, Serialize};

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value and revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Key in the store, a path with `/` as the separator.
    pub key: String,
    /// Value of the key; `None` in a watch result if the key was deleted. Encoded as base64 in
    /// JSON.
    #[serde(with = "value_text")]
    pub value: Option<Vec<u8>>,
    /// Store revision of the last write to this key.
    pub revision: u64,
}

impl Entry {
    /// Returns the value, or an empty slice if the key was deleted.
    pub fn bytes(&self) -> &[u8] {
        self.value.as_deref().unwrap_or_default()
    }
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// No precondition: the write applies whether or not the key exists.
    Any,
    /// The key must not exist.
    Absent,
    /// The last write to the key must have this revision.
    Revision(u64),
}

/// Changes returned by a watch on a key prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Store revision to pass as `after` to the next watch.
    pub revision: u64,
    /// Latest entry of each key that changed since the revision passed to the watch.
    pub entries: Vec<Entry>,
}

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The precondition failed, and the call had no effect. Holds the entry found, if any.
    Conflict(Option<Entry>),
    /// The store could not be reached or was unavailable, and the call had no effect.
    Down,
    /// No valid response arrived, so a write may or may not have taken effect.
    Unknown,
    /// The rate limit of the store was exceeded, and the call had no effect.
    Limited,
    /// The value exceeds [`MAX_VALUE_BYTES`], and the call had no effect.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict(_) => "the key has changed",
            Self::Down => "the store can't be reached",
            Self::Unknown => "the store did not respond; the write may have taken effect",
            Self::Limited => "the store's rate limit was exceeded",
            Self::TooLarge => "the value exceeds the store's size limit",
        })
    }
}

impl error::Error for Error {}

/// Client interface of the key-value store.
pub trait Store: Send + Sync {
    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns any [`Error`] except `Conflict` and `TooLarge`.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Writes one key and returns its new revision.
    ///
    /// # Errors
    ///
    /// Returns any [`Error`]; after `Unknown` the write may have taken effect.
    fn put(&self, key: &str, value: &[u8], expect: Expect) -> Result<u64, Error>;

    /// Deletes one key. Deleting an absent key with [`Expect::Any`] succeeds.
    ///
    /// # Errors
    ///
    /// Returns any [`Error`]; after `Unknown` the key may have been deleted.
    fn delete(&self, key: &str, expect: Expect) -> Result<(), Error>;

    /// Returns up to `limit` entries whose keys start with `prefix` and sort after `after`, ordered
    /// by key.
    ///
    /// # Errors
    ///
    /// Returns any [`Error`] except `Conflict` and `TooLarge`.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, Error>;

    /// Returns the keys with `prefix` that were written after store revision `after`. If there are
    /// none, waits up to `wait` for the first such write.
    ///
    /// # Errors
    ///
    /// Returns any [`Error`] except `Conflict` and `TooLarge`.
    fn watch(&self, prefix: &str, after: u64, wait: clock::Millis) -> Result<Changes, Error>;
}

/// Outcome of [`create`]: whose value the key holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CreateOutcome {
    /// The key holds the caller's value, written by this or an earlier attempt. Holds the revision.
    Own(u64),
    /// The key holds the value of another writer.
    Other(Entry),
}

/// Creates `key` if it is absent. If the response is lost, reads the key back to find the outcome.
///
/// `value` must contain an identifier that no other writer uses, because an entry with equal bytes
/// is taken for the caller's own.
///
/// # Errors
///
/// Returns `Unknown` if reading the key back fails too; after any other [`Error`] nothing was
/// written.
pub fn create(store: &dyn Store, key: &str, value: &[u8]) -> Result<CreateOutcome, Error> {
    match store.put(key, value, Expect::Absent) {
        Ok(revision) => Ok(CreateOutcome::Own(revision)),
        Err(Error::Conflict(Some(found))) => Ok(classify(found, value)),
        Err(Error::Conflict(None)) => Err(Error::Unknown),
        Err(Error::Unknown) => read_back(store, key, value),
        Err(e) => Err(e),
    }
}

fn read_back(store: &dyn Store, key: &str, value: &[u8]) -> Result<CreateOutcome, Error> {
    match store.get(key) {
        Ok(Some(found)) => Ok(classify(found, value)),
        Ok(None) | Err(_) => Err(Error::Unknown),
    }
}

fn classify(found: Entry, value: &[u8]) -> CreateOutcome {
    if found.bytes() == value {
        return CreateOutcome::Own(found.revision);
    }
    CreateOutcome::Other(found)
}

/// Replaces the value of `key` if its last write has `revision`, and returns the new revision. If
/// the response is lost, reads the key back to find the outcome.
///
/// # Errors
///
/// Returns `Conflict` if another writer was first, and otherwise the same errors as [`create`].
pub fn replace(store: &dyn Store, key: &str, value: &[u8], revision: u64) -> Result<u64, Error> {
    let found = match store.put(key, value, Expect::Revision(revision)) {
        Err(Error::Unknown) => store.get(key).map_err(|_| Error::Unknown)?,
        Err(Error::Conflict(found)) => found,
        result => return result,
    };
    match found {
        Some(e) if e.bytes() == value => Ok(e.revision),
        Some(e) if e.revision == revision => Err(Error::Unknown),
        other => Err(Error::Conflict(other)),
    }
}

mod value_text {
    //! Encodes values as base64 text for serde.

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
