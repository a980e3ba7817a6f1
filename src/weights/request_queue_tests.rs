//! The order in which questions go out.

use std::sync::Arc;
use std::time::Duration;

use super::{ChunkRequest, RequestQueue, Source};

fn question(source: Source, hold_ms: u64) -> ChunkRequest {
    ChunkRequest {
        source,
        want: Vec::new(),
        hold: Duration::from_millis(hold_ms),
        hello: false,
        tell: false,
    }
}

fn near(name: &str) -> Source {
    Source::Near(Arc::from(name))
}

#[test]
fn the_origin_is_asked_though_a_poor_link_bears_no_more_questions() {
    let mut queue = RequestQueue::new();
    for name in ["a", "b", "c"] {
        queue.push(question(near(name), 800));
    }
    queue.push(question(near("d"), 0));
    queue.push(question(Source::Origin, 800));
    let mut out = Vec::new();
    while let Some(next) = queue.next(out.len(), 3) {
        out.push(next.source().clone());
    }
    // Who is known to hold something is asked before those who may wait.
    assert_eq!(out, [Source::Origin, near("d"), near("a")]);
    queue.push(question(Source::Origin, 800));
    assert_eq!(
        queue.next(3, 3).map(|q| q.source().clone()),
        Some(Source::Origin)
    );
    assert_eq!(queue.next(3, 3), None);
}
