//! How a record reached this process, for the log.
//!
//! Routes that come late are late for one of several reasons: a reading that
//! took long, a neighbour that was late itself, or a processor that was busy
//! after the last byte. The log tells these apart by who told the routes, how
//! long the call took that brought them, and how many whole documents came in
//! the same answer.

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
    /// Returns a way of which nothing else is known.
    pub const fn new(way: &'static str) -> Source {
        Source { way, entry: None, took: None, documents: None }
    }

    /// Returns a reading of the platform, by a list or a watch.
    ///
    /// `took` is the time since the call, which for a watch includes its
    /// wait; `documents` counts the whole documents of routes that it
    /// brought.
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

    /// Returns a way over another entry, `took` after it was asked.
    pub const fn entry(
        way: &'static str,
        entry: SocketAddr,
        took: Duration,
    ) -> Source {
        Source { way, entry: Some(entry), took: Some(took), documents: None }
    }

    /// Returns the word for the way.
    pub const fn way(&self) -> &'static str {
        self.way
    }

    /// Returns the entry that told the record, if one did.
    pub const fn teller(&self) -> Option<SocketAddr> {
        self.entry
    }

    /// Returns how long the call took that brought the record, in
    /// milliseconds.
    pub fn took_ms(&self) -> Option<u64> {
        self.took.map(|took| took.as_millis() as u64)
    }

    /// Returns how many whole documents of routes the same answer had.
    pub const fn documents(&self) -> Option<usize> {
        self.documents
    }
}
