//! Percent-encoding of text in request targets.
//!
//! Keys and names come from other writers, and may hold any signs that mean
//! something in a URI.

use std::borrow::Cow;
use std::fmt::Display;

use percent_encoding::{
    AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode,
};

/// The signs that are encoded in a path: all but the unreserved ones of RFC
/// 3986.
const IN_SEGMENT: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The signs that are encoded in a query, which may hold slashes.
const IN_QUERY: &AsciiSet = &IN_SEGMENT.remove(b'/');

/// Returns a text as one segment of a path.
pub fn segment(text: &str) -> impl Display + '_ {
    utf8_percent_encode(text, IN_SEGMENT)
}

/// Returns a text as a value in a query.
pub fn query_value(text: &str) -> impl Display + '_ {
    utf8_percent_encode(text, IN_QUERY)
}

/// Returns the text of a segment of a path, or `None` if it is not UTF-8.
pub fn decoded(segment: &str) -> Option<Cow<'_, str>> {
    percent_decode_str(segment).decode_utf8().ok()
}
