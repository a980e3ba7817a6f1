//! How a record reached this process, for the log.
//!
//! Routes can arrive late because a read was slow, because the peer that sent
//! them was late itself, or because the CPU was busy after the last byte. To
//! distinguish these causes, the log states the sender of the routes, the
//! duration of the call and the number of full documents in the answer.

use std::net::SocketAddr;
use std::time::Duration;

/// How a record reached this process.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    way: &'static str,
    entry: Option<SocketAddr>,
    took: Option<Duration>,
    documents: Option<usize>,
}

impl Source {
    /// Creates a source that only states the way.
    pub const fn new(way: &'static str) -> Source {
        Source { way, entry: None, took: None, documents: None }
    }

    /// Creates the source of records read from the platform, by a list or a
    /// watch.
    ///
    /// `took` is the time since the call, including the wait of a watch;
    /// `documents` is the number of full routes documents in the answer.
    pub const fn platform(
        way: &'static str,
        took: Duration,
        documents: usize,
    ) -> Source {
        Source {
            way,
            entry: None,
            took: Some(took),
            documents: Some(documents),
        }
    }

    /// Creates the source of a record received from another entry, `took`
    /// after it was asked.
    pub const fn entry(
        way: &'static str,
        entry: SocketAddr,
        took: Duration,
    ) -> Source {
        Source { way, entry: Some(entry), took: Some(took), documents: None }
    }

    /// Returns the name of the way in logs.
    pub const fn way(&self) -> &'static str {
        self.way
    }

    /// Returns the entry that sent the record, if one did.
    pub const fn sender(&self) -> Option<SocketAddr> {
        self.entry
    }

    /// Returns the duration of the call that returned the record, in
    /// milliseconds.
    pub fn took_ms(&self) -> Option<u64> {
        self.took.map(|took| took.as_millis() as u64)
    }

    /// Returns the number of full routes documents in the same answer.
    pub const fn documents(&self) -> Option<usize> {
        self.documents
    }
}
