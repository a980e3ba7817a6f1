//! The order in which requests are sent.

use std::collections::VecDeque;

use super::{ChunkRequest, Source};

/// Requests that wait to be sent.
///
/// On a poor link only a few requests to peers may be outstanding, and peers
/// may hold each of them for a while. A request to the origin doesn't wait
/// behind them: a chunk that no peer holds can only come from the origin, and
/// there is at most one such request.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    origin_requests: VecDeque<ChunkRequest>,
    /// Requests to peers that are known to hold a wanted chunk.
    holder_requests: VecDeque<ChunkRequest>,
    other_requests: VecDeque<ChunkRequest>,
}

impl RequestQueue {
    /// Returns an empty queue.
    pub fn new() -> RequestQueue {
        RequestQueue::default()
    }

    /// Adds a request.
    pub fn push(&mut self, request: ChunkRequest) {
        let queue = match request.source() {
            Source::Origin => &mut self.origin_requests,
            // Requests without hold time are answered at once; most ask for
            // chunks that the source is known to have.
            _ if request.hold().is_zero() => &mut self.holder_requests,
            _ => &mut self.other_requests,
        };
        queue.push_back(request);
    }

    /// Returns the next request to send while `in_flight` others are
    /// outstanding, of which there may be `max_in_flight`.
    pub fn next(
        &mut self,
        in_flight: usize,
        max_in_flight: usize,
    ) -> Option<ChunkRequest> {
        if let Some(request) = self.origin_requests.pop_front() {
            return Some(request);
        }
        if in_flight >= max_in_flight {
            return None;
        }
        self.holder_requests
            .pop_front()
            .or_else(|| self.other_requests.pop_front())
    }
}
