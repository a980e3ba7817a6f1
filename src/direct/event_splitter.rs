//! Splitting of server-sent event streams so that they can be resumed.
//!
//! A response may end in the middle of an event. Only complete events are
//! forwarded, so that another replica can continue after the last of them
//! without a gap, a repetition or a partial event.

use bytes::{Bytes, BytesMut};

/// A complete event as it was sent, including the terminating blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes of the event.
    pub bytes: Bytes,
    /// The value of its `id` field, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits the bytes of a response into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Returns a splitter with an empty buffer.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Appends bytes of the response.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let tail = &self.buffer[start..];
        for (i, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &tail[i + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(start + i + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(start + i + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else { continue };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}
