//! Which of the questions that are ready goes out next.

use std::collections::VecDeque;

use super::{ChunkRequest, Source};

/// Questions that wait to be sent.
///
/// A poor link bears only a few questions to peers at a time, and each may
/// wait at its peer. One to the origin never queues behind them: what nobody
/// holds comes from there alone, and it is one at a time anyway.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    origin: VecDeque<ChunkRequest>,
    /// Questions to peers that are known to hold what is wanted.
    sure: VecDeque<ChunkRequest>,
    others: VecDeque<ChunkRequest>,
}

impl RequestQueue {
    /// Returns a queue without questions.
    pub fn new() -> RequestQueue {
        RequestQueue::default()
    }

    /// Adds a question.
    pub fn push(&mut self, question: ChunkRequest) {
        let queue = match question.source() {
            Source::Origin => &mut self.origin,
            // One that may not wait is for what lies there already.
            _ if question.hold().is_zero() => &mut self.sure,
            _ => &mut self.others,
        };
        queue.push_back(question);
    }

    /// Returns the next question to send while `out` others are out, of which
    /// there may be `most` at a time.
    pub fn next(&mut self, out: usize, most: usize) -> Option<ChunkRequest> {
        if let Some(question) = self.origin.pop_front() {
            return Some(question);
        }
        if out >= most {
            return None;
        }
        self.sure.pop_front().or_else(|| self.others.pop_front())
    }
}
