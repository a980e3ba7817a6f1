//! Tests of bodies that arrive slowly.

use std::time::Duration;

use bytes::Bytes;
use stairhinge::Code;
use tokio::sync::mpsc;

use super::{BodyPace, read_steady, stream};

const PACE: BodyPace =
    BodyPace { window: Duration::from_secs(5), least: 1_000 };

/// Reads a body of which `size` bytes arrive each `pause`, `count` times, and
/// that then goes on without bytes for ever, or ends.
async fn read(
    size: usize,
    pause: Duration,
    count: usize,
    ends: bool,
) -> Result<usize, Code> {
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        for _ in 0..count {
            tokio::time::sleep(pause).await;
            let _ = tx.send(Ok(Bytes::from(vec![b'x'; size]))).await;
        }
        if !ends {
            std::future::pending::<()>().await;
        }
    });
    let read = read_steady(stream(rx), 100_000, PACE).await;
    read.map(|bytes| bytes.len()).map_err(|error| error.code())
}

#[tokio::test(start_paused = true)]
async fn a_body_is_read_for_as_long_as_it_arrives() {
    let pause = Duration::from_secs(2);
    assert_eq!(read(600, pause, 50, true).await, Ok(30_000));
    // It may end before the least number of bytes.
    assert_eq!(read(1, pause, 2, true).await, Ok(2));
    assert_eq!(read(0, pause, 0, true).await, Ok(0));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_hardly_arrives_or_never_ends_is_given_up() {
    let pause = Duration::from_secs(2);
    assert_eq!(read(400, pause, 50, true).await, Err(Code::SlowSender));
    let begun = tokio::time::Instant::now();
    assert_eq!(read(600, pause, 5, false).await, Err(Code::SlowSender));
    assert!(begun.elapsed() <= Duration::from_secs(10) + PACE.window);
    let large = read(60_000, pause, 50, false).await;
    assert_eq!(large, Err(Code::BodyTooLarge));
}
