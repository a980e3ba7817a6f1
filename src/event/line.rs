//! Events as JSON lines.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Code, Error};

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The hybrid logical clock, which orders events over all processes.
    pub clock: u64,
    /// The wall clock time, in milliseconds since the Unix epoch.
    pub wall: u64,
    /// The name of the instance.
    pub instance: Arc<str>,
    /// The data hall of the instance.
    pub hall: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The sequence number of the event within the incarnation.
    pub seq: u64,
    /// The kind of event, such as `config.taken`.
    pub event: String,
    /// What the event concerns, such as a request, version or revision.
    #[serde(flatten)]
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// Parses one line.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] if the line is not an event.
    pub fn parse(line: &str) -> Result<Event, Error> {
        serde_json::from_str(line)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Returns the value of a field, or the empty string if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}
