//! Reads published documents from the platform.
//!
//! Only a few instances of a data hall watch the platform; the others read
//! from it when they have had no news of it for too long.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::{Document, Kind, PlatformAccess, platform_access};
use stairhinge::{Code, Error, rank};

use super::Node;

/// Timeout of a call to the platform, beyond the time of a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay after a failed call, which keeps retries from overloading a
/// platform that is recovering from an outage.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The largest response accepted from the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 1_200_000;

/// Keeps one document up to date with the platform.
pub(super) async fn run(node: Arc<Node>, kind: Kind) {
    // Every process reads once at start, whatever its rank, since a
    // restarted process holds no documents.
    let mut first = true;
    loop {
        let step = node.identity().step;
        let now =
            if first { PlatformAccess::Read } else { next_access(&node) };
        first = false;
        let wait = match now {
            // The platform counts as contacted only when a watch ends, so a
            // watch without a change lasts at most one step, after which the
            // next rank would read.
            PlatformAccess::Watch => step,
            PlatformAccess::Read => Duration::ZERO,
            PlatformAccess::Idle => {
                tokio::time::sleep(step / 4).await;
                continue;
            }
        };
        if let Err(err) = fetch(&node, kind, wait).await {
            log::debug!("{err}");
            tokio::time::sleep(RETRY_DELAY.min(step)).await;
        }
    }
}

fn next_access(node: &Node) -> PlatformAccess {
    let identity = node.identity();
    let mut names = vec![Arc::clone(&identity.name)];
    for instance in node.others(true) {
        names.push(instance.name);
    }
    let order = rank::order(b"watch", &names);
    let mine = order.iter().position(|n| *n == identity.name);
    platform_access(
        mine.unwrap_or_default(),
        identity.watchers,
        node.contact(),
        identity.step,
    )
}

async fn fetch(
    node: &Arc<Node>,
    kind: Kind,
    wait: Duration,
) -> Result<(), Error> {
    let above = node.seen(kind).revision();
    let path = format!(
        "/v1/{}?above={above}&wait_ms={}",
        kind.as_str(),
        wait.as_millis()
    );
    node.metrics().platform.inc();
    let platform = node.identity().platform;
    let lost = |why: &dyn std::fmt::Display| {
        Error::new(Code::PlatformLost, format_args!("{platform}: {why}"))
    };
    let (status, head, bytes) = node
        .client()
        .get(platform, &path, MAX_RESPONSE_BYTES, READ_TIMEOUT + wait)
        .await
        .map_err(|e| lost(&e))?;
    match status {
        200 => {}
        204 => {
            node.contacted(Duration::ZERO);
            return Ok(());
        }
        other => return Err(lost(&format!("status {other}"))),
    }
    let revision = head
        .get("revision")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .ok_or_else(|| lost(&"response without a valid revision header"))?;
    node.contacted(Duration::ZERO);
    let document = Document::new(revision, bytes.to_vec());
    node.take(kind, document, "platform").map(|_| ())
}
