//! Encoding of texts in the addresses of calls.

use percent_encoding::{AsciiSet, PercentEncode};

/// Bytes that are encoded: all but those that mean themselves in a path and in a query. A query may also be
/// decoded as a form, in which a plus is a blank.
const ENCODED: &AsciiSet = &percent_encoding::NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Encodes a text of any characters, such as a key of the store, as the value of a query or as segments of
/// a path.
pub fn encode(text: &str) -> PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(text, ENCODED)
}
