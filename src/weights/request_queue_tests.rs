//! Tests of the order in which requests are sent.

use std::sync::Arc;
use std::time::Duration;

use super::{ChunkRequest, RequestQueue, Source};

fn request(source: Source, hold_ms: u64) -> ChunkRequest {
    ChunkRequest {
        source,
        want: Vec::new(),
        hold: Duration::from_millis(hold_ms),
        first_contact: false,
        holdings_only: false,
    }
}

fn near(name: &str) -> Source {
    Source::Near(Arc::from(name))
}

#[test]
fn requests_to_the_origin_ignore_the_limit() {
    let mut queue = RequestQueue::new();
    for name in ["a", "b", "c"] {
        queue.push(request(near(name), 800));
    }
    queue.push(request(near("d"), 0));
    queue.push(request(Source::Origin, 800));
    let mut out = Vec::new();
    while let Some(next) = queue.next(out.len(), 3) {
        out.push(next.source().clone());
    }
    // Known holders are asked before peers that may hold the request.
    assert_eq!(out, [Source::Origin, near("d"), near("a")]);
    queue.push(request(Source::Origin, 800));
    assert_eq!(
        queue.next(3, 3).map(|r| r.source().clone()),
        Some(Source::Origin)
    );
    assert_eq!(queue.next(3, 3), None);
}
