//! Reading the platform's service, as rarely as the hall allows.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::{Document, Kind, PlatformAccess, platform_access};
use stairhinge::{Code, Error, rank};

use super::Node;

/// How long any other call to the platform may take.
const READ: Duration = Duration::from_secs(2);

/// The pause after a failed call, so that an outage is not hammered.
const PAUSE: Duration = Duration::from_secs(1);

/// The largest answer taken from the platform.
const MOST: usize = 1_200_000;

/// Keeps one document up to date from the platform.
pub(super) async fn run(node: Arc<Node>, kind: Kind) {
    // First of all, whoever this is: a restarted process has no memory.
    let mut first = true;
    loop {
        let step = node.identity().step;
        let now = if first { PlatformAccess::Read } else { what(&node) };
        first = false;
        let wait = match now {
            // A watch that says nothing is no news of the platform, so it
            // ends within the step after which the next rank would ask.
            PlatformAccess::Watch => step,
            PlatformAccess::Read => Duration::ZERO,
            PlatformAccess::Idle => {
                tokio::time::sleep(step / 4).await;
                continue;
            }
        };
        if let Err(err) = ask(&node, kind, wait).await {
            log::debug!("{err}");
            tokio::time::sleep(PAUSE.min(step)).await;
        }
    }
}

fn what(node: &Node) -> PlatformAccess {
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

async fn ask(
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
        .get(platform, &path, MOST, READ + wait)
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
        .ok_or_else(|| lost(&"no revision"))?;
    node.contacted(Duration::ZERO);
    let document = Document::new(revision, bytes.to_vec());
    node.take(kind, document, "platform").map(|_| ())
}
