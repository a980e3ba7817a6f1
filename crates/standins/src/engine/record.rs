//! What an engine ran.

use serde::{Deserialize, Serialize};

/// One request that an engine ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The attempt's name.
    pub request: String,
    /// The caller's key, or empty.
    pub key: String,
    /// The caller's own text, to recognise a request by.
    pub prompt: String,
    /// The version that ran.
    pub version: String,
    /// Whether it ran to its end.
    pub whole: bool,
}
