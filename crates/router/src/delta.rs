//! Differences between two versions of a document, for hosts that have the earlier one.

use std::collections;

use base::hash;
use serde::{Deserialize, Serialize};

/// Byte that ends a piece: in the formats in use it ends an entry of a list.
const PIECE_END: u8 = b'}';

/// Part of the new version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum Part {
    /// Bytes of the old version: the offset of the first one, and their number.
    Copy(usize, usize),
    Insert(Vec<u8>),
}

/// The steps from one version of a document to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    parts: Vec<Part>,
    /// Hash of the new version, by [`hash::stable_hash`].
    hash: u64,
}

impl Delta {
    /// Returns the difference from `old` to `new`. Pieces of `new` that occur in `old` are copied.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut offsets = collections::HashMap::new();
        let mut offset = 0;
        for piece in pieces(old) {
            offsets.entry(piece).or_insert(offset);
            offset += piece.len();
        }
        let mut parts = Vec::new();
        for piece in pieces(new) {
            match (parts.last_mut(), offsets.get(piece)) {
                (Some(Part::Copy(start, len)), _) if old[*start + *len..].starts_with(piece) => {
                    *len += piece.len();
                }
                (_, Some(start)) => parts.push(Part::Copy(*start, piece.len())),
                (Some(Part::Insert(bytes)), None) => bytes.extend_from_slice(piece),
                (_, None) => parts.push(Part::Insert(piece.to_vec())),
            }
        }
        Self {
            parts,
            hash: hash::stable_hash(new),
        }
    }

    /// Number of bytes that are not in the old version.
    pub fn inserted_bytes(&self) -> usize {
        let inserted = self.parts.iter().map(|p| match p {
            Part::Copy(..) => 0,
            Part::Insert(bytes) => bytes.len(),
        });
        inserted.sum()
    }

    /// Returns the new version, or `None` if `old` is not the version that this is the difference to.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for part in &self.parts {
            match part {
                Part::Copy(start, len) => {
                    new.extend_from_slice(old.get(*start..start.checked_add(*len)?)?);
                }
                Part::Insert(bytes) => new.extend_from_slice(bytes),
            }
        }
        (hash::stable_hash(&new) == self.hash).then_some(new)
    }
}

fn pieces(document: &[u8]) -> impl Iterator<Item = &[u8]> {
    document.split_inclusive(|b| *b == PIECE_END)
}
