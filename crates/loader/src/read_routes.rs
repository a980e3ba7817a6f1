//! Reads the routes, from which an agent needs the properties of its engine
//! and the address of the origin.
//!
//! Both rarely change, while routes change often and are large. If all agents
//! read them from the platform at the same time, links between halls are
//! saturated for seconds. So routes are read from the platform only at the
//! start or if an entry fails, and otherwise from an entry of the agent's
//! hall, which sends them compressed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::direct::FirstReadDelay;
use stairhinge::{Code, Error};
use stairhinge_chunks::log_failure;
use stairhinge_gateway::fetch_routes;
use stairhinge_shell::directory::{Collection, Freshness, Published, Source};

use crate::agent::Agent;
use crate::entry_rotation::EntryRotation;
use crate::peer_list::Relist;

/// The interval between checks for newer routes.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// The interval at which entries without routes are asked again at the start.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The pause after the first failure of an entry that is logged.
const FIRST_LOG_PAUSE: Duration = Duration::from_secs(1);

/// The minimum interval between two checks after failures of the origin.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// The first delay before the routes are read again after a failure, which
/// doubles with each further failure. If all processes start at the same time,
/// their reads saturate links for seconds, and immediate retries would keep
/// them saturated.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The maximum delay before the routes are read again after a failure.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(6_400);

/// The maximum time that an entry may take to send the routes.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Reads the routes at the start and then periodically. If the origin cannot
/// be reached and newer routes exist, it reads them sooner, since they may
/// contain a new address of the origin.
pub(crate) async fn read_routes(agent: Arc<Agent>) {
    let mut rotation = EntryRotation::default();
    if !ask_entries(&agent, &mut rotation).await {
        read_first(&agent, &mut rotation).await;
    }
    loop {
        tokio::time::sleep(MIN_CHECK_INTERVAL).await;
        let rest = CHECK_INTERVAL.saturating_sub(MIN_CHECK_INTERVAL);
        let _ = tokio::time::timeout(rest, agent.origin_suspect()).await;
        if let Err(error) = read_newer(&agent, &mut rotation).await {
            log_failure(&agent.facts, "routes", &error);
        }
    }
}

/// Returns the entry of the hall to ask next.
fn next_entry(agent: &Agent, rotation: &EntryRotation) -> Option<SocketAddr> {
    let entries = agent.subscribers.of_hall(&agent.settings.hall);
    rotation.entry(agent.addr(), entries)
}

/// Asks entries for the first routes, and returns whether one sent them.
async fn ask_entries(
    agent: &Arc<Agent>,
    rotation: &mut EntryRotation,
) -> bool {
    let delay = FirstReadDelay::new(rand::rng().random());
    let started = Instant::now();
    // The list is small, and its length tells how many agents read the
    // routes.
    let mut relist = Relist::default();
    relist.start(agent);
    let listed = || agent.facts.view().replicas.len();
    let mut failures = FailureLog::default();
    while agent.entries.relies_on_entries()
        || started.elapsed() < delay.for_agent(listed())
    {
        if next_entry(agent, rotation).is_some() {
            match from_entry(agent, rotation).await {
                Ok(()) => return true,
                Err(error) => failures.note(agent, &error),
            }
        }
        let entry = agent.subscribers.wait_for_join();
        let _ = tokio::time::timeout(ENTRY_RETRY_INTERVAL, entry).await;
    }
    false
}

/// Logs failures of entries that are asked again and again: the first one, and
/// then one after each pause, which doubles.
#[derive(Default)]
struct FailureLog {
    due: Option<Instant>,
    pause: Duration,
}

impl FailureLog {
    fn note(&mut self, agent: &Agent, error: &Error) {
        let now = Instant::now();
        if self.due.is_some_and(|due| now < due) {
            return;
        }
        self.pause = (self.pause * 2).max(FIRST_LOG_PAUSE);
        self.due = Some(now + self.pause);
        log_failure(&agent.facts, "entry", error);
    }
}

/// Reads the first routes from an entry or the platform, with retries.
async fn read_first(agent: &Agent, rotation: &mut EntryRotation) {
    let mut delay = FIRST_RETRY_DELAY;
    while let Err(error) = try_read_first(agent, rotation).await {
        log_failure(&agent.facts, "routes", &error);
        let entry = agent.subscribers.wait_for_join();
        let _ = tokio::time::timeout(delay, entry).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Reads the first routes once, from an entry if one subscribes already.
async fn try_read_first(
    agent: &Agent,
    rotation: &mut EntryRotation,
) -> Result<(), Error> {
    if next_entry(agent, rotation).is_some() && !rotation.take_platform_turn()
    {
        from_entry(agent, rotation).await?;
    } else {
        from_platform(agent, Freshness::Current).await?;
    }
    if agent.facts.view().routes.is_some() {
        return Ok(());
    }
    Err(Error::new(Code::NoRoutes, "no routes are published"))
}

/// Reads newer routes if an entry has reported any.
async fn read_newer(
    agent: &Agent,
    rotation: &mut EntryRotation,
) -> Result<(), Error> {
    if agent.news().revision <= agent.facts.revision() {
        return Ok(());
    }
    match from_entry(agent, rotation).await {
        Ok(()) => Ok(()),
        Err(error) => {
            log_failure(&agent.facts, "routes of an entry", &error);
            from_platform(agent, Freshness::Stale).await
        }
    }
}

async fn from_platform(
    agent: &Agent,
    freshness: Freshness,
) -> Result<(), Error> {
    let started = Instant::now();
    let read = agent.directory.list(Collection::Routes, freshness);
    let records = read.await?.records;
    let source = Source::platform("list", started.elapsed(), records.len());
    for record in records {
        agent.facts.learn(record?, source, Published::default());
    }
    Ok(())
}

/// Reads the routes from the entry to ask next.
async fn from_entry(
    agent: &Agent,
    rotation: &mut EntryRotation,
) -> Result<(), Error> {
    let none =
        || Error::new(Code::PeerLost, "no entry of the hall subscribes");
    let entry = next_entry(agent, rotation).ok_or_else(none)?;
    let started = Instant::now();
    let read = read_entry(agent, entry, started).await;
    match &read {
        Ok(()) => rotation.succeeded(),
        Err(_) => rotation.failed(started.elapsed(), ENTRY_TIMEOUT),
    }
    read
}

async fn read_entry(
    agent: &Agent,
    entry: SocketAddr,
    started: Instant,
) -> Result<(), Error> {
    let document = fetch_routes(&agent.client, entry, ENTRY_TIMEOUT).await?;
    let record = agent.directory.parse_routes(document)?;
    let source = Source::entry("entry", entry, started.elapsed());
    agent.facts.learn(record, source, Published::default());
    Ok(())
}
