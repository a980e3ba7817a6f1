//! Keeping chunks from filling the instance's link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::future::select_ok;
use stairhinge::Error;

use crate::agent::Agent;
use crate::peer_list::peers;

/// How often the link is probed while chunks go over it.
const EVERY: Duration = Duration::from_millis(200);

/// How many peers are probed at a time: some may be out of reach, or have
/// full links themselves.
const PROBES: usize = 3;

/// A probe that takes longer says no more.
const LONGEST: Duration = Duration::from_millis(1_000);

/// How long after a chunk the link still counts as in use.
const ACTIVE: Duration = Duration::from_millis(1_000);

/// The largest answer to a probe, in bytes.
const MOST_ANSWER: usize = 1_024;

/// Probes the link while chunks go over it, and sets what they may take.
pub(crate) async fn watch_link(agent: Arc<Agent>) {
    let mut timer = tokio::time::interval(EVERY);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut turn = 0usize;
    loop {
        timer.tick().await;
        if agent.idle_for() > ACTIVE {
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
        for step in 0..PROBES.min(count) {
            turn += 1;
            let spread = turn + step * count / PROBES;
            let (_, addr) = peers[spread % count];
            probes.push(Box::pin(probe(&agent, addr)));
        }
        if select_ok(probes).await.is_ok() {
            sample(&agent, started.elapsed());
        }
    }
}

async fn probe(agent: &Agent, addr: SocketAddr) -> Result<(), Error> {
    let answer = agent.client.get(addr, "/ping", MOST_ANSWER, LONGEST);
    answer.await.map(|_| ())
}

fn sample(agent: &Agent, delay: Duration) {
    let mut share = agent.link_share();
    share.record_delay(delay);
    let ms = delay.as_millis() as u32;
    agent.link_ms.store(ms, Ordering::Relaxed);
    let rate = agent.live.get().chunk_rate() as f64 * share.upload();
    agent.uplink.set_rate(rate as u64);
}
