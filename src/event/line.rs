//! One event as a JSON line.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Code, Error};

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Hybrid logical clock; orders events over processes.
    pub clock: u64,
    /// Wall time in milliseconds since the Unix epoch.
    pub wall: u64,
    /// The instance's name.
    pub instance: Arc<str>,
    /// The instance's data hall.
    pub hall: Arc<str>,
    /// The process's incarnation.
    pub incarnation: u64,
    /// Counts the events of an incarnation.
    pub seq: u64,
    /// What happened, such as `config.taken`.
    pub event: String,
    /// What it happened to: request, version, revision and the like.
    #[serde(flatten)]
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// Reads one line.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] if the line is not an event.
    pub fn parse(line: &str) -> Result<Event, Error> {
        serde_json::from_str(line)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Returns a field's value, or the empty string.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}
