//! Keeps chunk transfers from saturating the instance's link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::future::select_ok;
use stairhinge::Error;

use crate::agent::Agent;
use crate::peer_list::peers;

/// The interval between probes of the link while chunks are transferred.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The number of peers probed at the same time. Some of them may be
/// unreachable or have saturated links themselves.
const PARALLEL_PROBES: usize = 3;

/// The maximum duration of a probe. A longer delay gives no further
/// information.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long after a chunk transfer the link still counts as in use.
const ACTIVE_TIME: Duration = Duration::from_millis(1_000);

/// The maximum size of the answer to a probe, in bytes.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Probes the link while chunks are transferred, and adjusts the share of the
/// link that they may use.
pub(crate) async fn watch_link(agent: Arc<Agent>) {
    let mut timer = tokio::time::interval(PROBE_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut next_peer = 0usize;
    loop {
        timer.tick().await;
        if agent.idle_for() > ACTIVE_TIME {
            agent.link_ms.store(0, Ordering::Relaxed);
            continue;
        }
        let peers = peers(&agent);
        if peers.is_empty() {
            continue;
        }
        let count = peers.len();
        let started = Instant::now();
        let mut probes = Vec::new();
        for step in 0..PARALLEL_PROBES.min(count) {
            next_peer += 1;
            let spread = next_peer + step * count / PARALLEL_PROBES;
            let (_, addr) = peers[spread % count];
            probes.push(Box::pin(probe(&agent, addr)));
        }
        if select_ok(probes).await.is_ok() {
            record_delay(&agent, started.elapsed());
        }
    }
}

async fn probe(agent: &Agent, addr: SocketAddr) -> Result<(), Error> {
    let answer =
        agent.client.get(addr, "/ping", MAX_ANSWER_BYTES, PROBE_TIMEOUT);
    answer.await.map(|_| ())
}

fn record_delay(agent: &Agent, delay: Duration) {
    let mut share = agent.link_share();
    share.record_delay(delay);
    let ms = delay.as_millis() as u32;
    agent.link_ms.store(ms, Ordering::Relaxed);
    let rate = agent.live.get().chunk_rate() as f64 * share.upload();
    agent.uplink.set_rate(rate as u64);
}
