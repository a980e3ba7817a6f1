//! Telling entries of the engine beside this agent.
//!
//! An entry that places requests for the agent's hall gets a line whenever the
//! engine's state changes. The others choose by themselves only while no
//! entry places for them, or listen over poor links between halls, so they
//! hear of mere load less often; whether the replica serves, and what, all
//! hear at once. An empty line says that nothing has changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use stairhinge::direct::HallEntry;
use stairhinge_gateway::EngineReport;
use stairhinge_shell::Shutdown;
use stairhinge_shell::directory::{Facts, News};
use stairhinge_shell::http::{Body, BodyError, headers};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::listeners::{Listeners, Listening};

/// How often a feed says something though nothing has changed.
const BEAT: Duration = Duration::from_millis(500);

/// The least span between two lines about load to an entry that does not
/// place requests for the hall.
const SELDOM_GAP: Duration = Duration::from_millis(400);

/// Returns the answer that keeps an entry informed.
pub(crate) fn feed(
    agent: &Agent,
    stopping: &Shutdown,
    request: &Request<Incoming>,
) -> Response<Body> {
    let hall = request.headers().get(headers::HALL);
    let far = hall.is_some_and(|h| h != &*agent.settings.hall);
    let seldom = far || request.headers().contains_key(headers::SELDOM);
    let listeners = &agent.listeners;
    let listening = listener(request).map(|entry| listeners.listen(entry));
    let state = Feed {
        hall: (!far).then(|| Arc::clone(&agent.settings.hall)),
        listeners: listeners.clone(),
        _listening: listening,
        facts: Arc::clone(&agent.facts),
        reports: agent.report.subscribe(),
        stopping: stopping.clone(),
        gap: if seldom { SELDOM_GAP } else { Duration::ZERO },
        told: None,
    };
    let items = futures::stream::unfold(state, |mut state| async {
        let line = state.next().await?;
        Some((Ok::<_, BodyError>(Frame::data(line)), state))
    });
    let body = StreamBody::new(items.boxed());
    Response::new(UnsyncBoxBody::new(body))
}

/// Returns the entry that listens, if it says where others can ask it.
fn listener(request: &Request<Incoming>) -> Option<HallEntry> {
    let header = |name| request.headers().get(name)?.to_str().ok();
    let addr = header(headers::READER)?.parse().ok()?;
    let hall = Arc::from(header(headers::HALL)?);
    Some(HallEntry { addr, hall })
}

/// What a line told.
struct Told {
    report: EngineReport,
    at: Instant,
    /// The news, and of the versions named whether their age was known.
    news: Option<News>,
    targets: Vec<(Arc<str>, u64, bool)>,
    others: Others,
}

/// The other entries that an entry of the agent's hall is told of.
#[derive(Clone, Default, PartialEq)]
struct Others {
    entries: Vec<HallEntry>,
    leading: Vec<SocketAddr>,
    listening: usize,
}

impl Told {
    /// Returns whether it told the news that another line would tell.
    fn has_news_of(&self, other: &Told) -> bool {
        self.news == other.news && self.targets == other.targets
    }
}

struct Feed {
    /// The agent's hall, for an entry of it.
    hall: Option<Arc<str>>,
    listeners: Listeners,
    _listening: Option<Listening>,
    facts: Arc<Facts>,
    reports: watch::Receiver<EngineReport>,
    stopping: Shutdown,
    gap: Duration,
    told: Option<Told>,
}

impl Feed {
    /// Returns the next line, or `None` once the agent stops.
    async fn next(&mut self) -> Option<Bytes> {
        if let Some(told) = &mut self.told {
            tokio::select! {
                changed = changed(&mut self.reports, told, self.gap) => {
                    changed?;
                }
                () = tokio::time::sleep_until(told.at + BEAT) => {
                    let same = told.targets == targets(&self.facts)
                        && told.others == others(self.hall.as_deref(), &self.listeners);
                    if same {
                        told.at = Instant::now();
                        return Some(Bytes::from_static(b"\n"));
                    }
                }
                () = self.stopping.wait() => return None,
            }
        }
        let mut report = self.reports.borrow_and_update().clone();
        let others = others(self.hall.as_deref(), &self.listeners);
        let now = Told {
            news: report.news.clone(),
            report: report.clone(),
            at: Instant::now(),
            targets: targets(&self.facts),
            others,
        };
        let told = self.told.as_ref();
        // What seldom changes is told only then: most lines are about load.
        let same = told.is_some_and(|told| told.others == now.others);
        report.entries = (!same).then(|| now.others.entries.clone());
        report.leading = (!same).then(|| now.others.leading.clone());
        report.listening = (!same).then_some(now.others.listening);
        let same = told.is_some_and(|told| told.has_news_of(&now));
        report.news = (!same).then(|| News {
            targets: self.facts.target_ages(),
            ..now.news.clone().unwrap_or_default()
        });
        self.told = Some(now);
        let mut line = serde_json::to_vec(&report).ok()?;
        line.push(b'\n');
        Some(Bytes::from(line))
    }
}

/// Returns the entries that one of the agent's `hall` is told of; those of
/// other halls hear of none.
fn others(hall: Option<&str>, listeners: &Listeners) -> Others {
    let Some(hall) = hall else { return Others::default() };
    Others {
        entries: listeners.first(),
        leading: listeners.leading(hall),
        listening: listeners.count(hall),
    }
}

fn targets(facts: &Facts) -> Vec<(Arc<str>, u64, bool)> {
    let ages = facts.target_ages().into_iter();
    ages.map(|t| (t.model, t.version, t.age_ms.is_some())).collect()
}

/// Waits for a change that is worth a line, or `None` if there will be none.
async fn changed(
    reports: &mut watch::Receiver<EngineReport>,
    told: &Told,
    gap: Duration,
) -> Option<()> {
    reports.changed().await.ok()?;
    let due = told.at + gap;
    let other =
        |report: &EngineReport| !report.has_same_availability(&told.report);
    // Whether and what the engine serves is told at once.
    let turned = reports.wait_for(other);
    let _ = tokio::time::timeout_at(due, turned).await;
    Some(())
}
