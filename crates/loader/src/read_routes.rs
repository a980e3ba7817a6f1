//! Reading the routes: an agent needs the kind of its engine and the origin.
//!
//! Both hardly change, and routes change often and are large: where all
//! agents read them from the platform at a time, links between halls are full
//! for seconds. They are read from there at the start only, and afterwards
//! from an entry of the own hall, which has them packed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::direct::FirstReadDelay;
use stairhinge::{Code, Error};
use stairhinge_chunks::log_failure;
use stairhinge_gateway::fetch_routes;
use stairhinge_shell::directory::{Collection, Freshness, Source};

use crate::agent::Agent;
use crate::entry_turn::EntryTurn;
use crate::peer_list::Relist;

/// How often the routes are read while nothing is wrong with them.
const EVERY: Duration = Duration::from_secs(60);

/// How often entries are asked that have no routes themselves yet.
const LOOK: Duration = Duration::from_millis(150);

/// The least span between two readings of routes that are in doubt.
const DOUBTED: Duration = Duration::from_secs(4);

/// The first pause before the routes are read again after a failure; each
/// next one is twice as long. Where all processes start at once, what they
/// read fills links for seconds, and reading again at once keeps them full.
const AGAIN: Duration = Duration::from_millis(400);

/// The longest pause.
const LONGEST: Duration = Duration::from_millis(6_400);

/// How long an entry may take to hand the routes over.
const WITHIN: Duration = Duration::from_millis(2_000);

/// Reads the routes at the start, and later now and then; sooner if the
/// origin cannot be reached and there are newer ones, in which it may stand
/// elsewhere.
pub(crate) async fn read_routes(agent: Arc<Agent>) {
    let mut turn = EntryTurn::default();
    if !ask_entries(&agent, &mut turn).await {
        read_first(&agent, &mut turn).await;
    }
    loop {
        tokio::time::sleep(DOUBTED).await;
        let rest = EVERY.saturating_sub(DOUBTED);
        let _ = tokio::time::timeout(rest, agent.origin_doubted()).await;
        if let Err(error) = newer(&agent, &mut turn).await {
            log_failure(&agent.facts, "routes", &error);
        }
    }
}

/// Returns the entry of the hall whose turn it is.
fn next_entry(agent: &Agent, turn: &EntryTurn) -> Option<SocketAddr> {
    let near = agent.listeners.of_hall(&agent.settings.hall);
    turn.entry(agent.addr(), near)
}

/// Asks entries for the first routes, and returns whether one had them.
async fn ask_entries(agent: &Arc<Agent>, turn: &mut EntryTurn) -> bool {
    let delay = FirstReadDelay::new(rand::rng().random());
    let begun = Instant::now();
    // The list is small, and it says how many read the routes.
    let mut relist = Relist::default();
    relist.start(agent);
    let listed = || agent.facts.view().replicas.len();
    while agent.entries.may_tell()
        || begun.elapsed() < delay.for_agent(listed())
    {
        if next_entry(agent, turn).is_some() {
            match from_entry(agent, turn).await {
                Ok(()) => return true,
                Err(error) => log_failure(&agent.facts, "entry", &error),
            }
        }
        let entry = agent.listeners.joined();
        let _ = tokio::time::timeout(LOOK, entry).await;
    }
    false
}

/// Reads the first routes from whoever has them.
async fn read_first(agent: &Agent, turn: &mut EntryTurn) {
    let mut pause = AGAIN;
    while let Err(error) = first(agent, turn).await {
        log_failure(&agent.facts, "routes", &error);
        let entry = agent.listeners.joined();
        let _ = tokio::time::timeout(pause, entry).await;
        pause = (pause * 2).min(LONGEST);
    }
}

/// Reads the first routes, from an entry if one listens already.
async fn first(agent: &Agent, turn: &mut EntryTurn) -> Result<(), Error> {
    if next_entry(agent, turn).is_some() && !turn.asks_platform() {
        from_entry(agent, turn).await?;
    } else {
        from_platform(agent, Freshness::Current).await?;
    }
    if agent.facts.view().routes.is_some() {
        return Ok(());
    }
    Err(Error::new(Code::NoRoutes, "none are published"))
}

/// Reads newer routes, if an entry has told of some.
async fn newer(agent: &Agent, turn: &mut EntryTurn) -> Result<(), Error> {
    if agent.news().revision <= agent.facts.revision() {
        return Ok(());
    }
    match from_entry(agent, turn).await {
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
    let called = Instant::now();
    let read = agent.directory.list(Collection::Routes, freshness);
    let records = read.await?.records;
    let source = Source::platform("list", called.elapsed(), records.len());
    for record in records {
        agent.facts.learn(record?, source, None);
    }
    Ok(())
}

/// Reads the routes of the entry whose turn it is.
async fn from_entry(agent: &Agent, turn: &mut EntryTurn) -> Result<(), Error> {
    let none = || Error::new(Code::PeerLost, "no entry of the hall listens");
    let entry = next_entry(agent, turn).ok_or_else(none)?;
    let called = Instant::now();
    let read = read_entry(agent, entry, called).await;
    match &read {
        Ok(()) => turn.heard(),
        Err(_) => turn.failed(called.elapsed(), WITHIN),
    }
    read
}

async fn read_entry(
    agent: &Agent,
    entry: SocketAddr,
    called: Instant,
) -> Result<(), Error> {
    let document = fetch_routes(&agent.client, entry, WITHIN).await?;
    let record = agent.directory.parse_routes(document)?;
    let source = Source::entry("entry", entry, called.elapsed());
    agent.facts.learn(record, source, None);
    Ok(())
}
