//! Streams the state of the engine to entries.
//!
//! An entry that places requests for the agent's hall receives a line whenever
//! the engine's state changes. Other entries choose replicas themselves only
//! while no entry places requests for them, or are connected by slow links
//! between halls, so they receive changes of load less often. All entries
//! receive immediately whether the replica serves and which version. An empty
//! line is a heartbeat without changes.

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
use crate::subscribers::{Subscribers, Subscription};

/// The interval between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between two lines about load to an entry that does not
/// place requests for the hall.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(400);

/// Returns a streaming response with the feed for an entry.
pub(crate) fn feed(
    agent: &Agent,
    stopping: &Shutdown,
    request: &Request<Incoming>,
) -> Response<Body> {
    let hall = request.headers().get(headers::HALL);
    let remote = hall.is_some_and(|h| h != &*agent.settings.hall);
    let load_limited =
        remote || request.headers().contains_key(headers::SELDOM);
    let subscribers = &agent.subscribers;
    let subscription =
        subscriber(request).map(|entry| subscribers.subscribe(entry));
    let state = Feed {
        hall: (!remote).then(|| Arc::clone(&agent.settings.hall)),
        subscribers: subscribers.clone(),
        _subscription: subscription,
        facts: Arc::clone(&agent.facts),
        reports: agent.report.subscribe(),
        stopping: stopping.clone(),
        min_interval: if load_limited {
            MIN_LOAD_INTERVAL
        } else {
            Duration::ZERO
        },
        last_sent: None,
    };
    let items = futures::stream::unfold(state, |mut state| async {
        let line = state.next().await?;
        Some((Ok::<_, BodyError>(Frame::data(line)), state))
    });
    let body = StreamBody::new(items.boxed());
    Response::new(UnsyncBoxBody::new(body))
}

/// Returns the subscribing entry, if the request gives its address and hall.
fn subscriber(request: &Request<Incoming>) -> Option<HallEntry> {
    let header = |name| request.headers().get(name)?.to_str().ok();
    let addr = header(headers::READER)?.parse().ok()?;
    let hall = Arc::from(header(headers::HALL)?);
    Some(HallEntry { addr, hall })
}

/// The content of the last line sent.
struct SentLine {
    report: EngineReport,
    at: Instant,
    /// The news; `targets` holds for each target version whether its age and
    /// the version before it were known.
    news: Option<News>,
    targets: Vec<KnownTarget>,
    others: KnownEntries,
}

type KnownTarget = (Arc<str>, u64, bool, bool);

/// The other entries that are announced to an entry of the agent's hall.
#[derive(Clone, Default, PartialEq)]
struct KnownEntries {
    entries: Vec<HallEntry>,
    leading: Vec<SocketAddr>,
    listening: usize,
}

impl SentLine {
    /// Returns whether it has the same news as `other`.
    fn has_same_news(&self, other: &SentLine) -> bool {
        self.news == other.news && self.targets == other.targets
    }
}

struct Feed {
    /// The agent's hall if the subscribing entry is in it, else `None`.
    hall: Option<Arc<str>>,
    subscribers: Subscribers,
    _subscription: Option<Subscription>,
    facts: Arc<Facts>,
    reports: watch::Receiver<EngineReport>,
    stopping: Shutdown,
    min_interval: Duration,
    last_sent: Option<SentLine>,
}

impl Feed {
    /// Returns the next line, or `None` if the agent is stopping.
    async fn next(&mut self) -> Option<Bytes> {
        if let Some(last_sent) = &mut self.last_sent {
            tokio::select! {
                changed = changed(
                    &mut self.reports,
                    last_sent,
                    self.min_interval,
                ) => {
                    changed?;
                }
                () = tokio::time::sleep_until(
                    last_sent.at + HEARTBEAT_INTERVAL
                ) => {
                    let same = last_sent.targets == targets(&self.facts)
                        && last_sent.others
                            == others(self.hall.as_deref(), &self.subscribers);
                    if same {
                        last_sent.at = Instant::now();
                        return Some(Bytes::from_static(b"\n"));
                    }
                }
                () = self.stopping.wait() => return None,
            }
        }
        let mut report = self.reports.borrow_and_update().clone();
        let others = others(self.hall.as_deref(), &self.subscribers);
        let current = SentLine {
            news: report.news.clone(),
            report: report.clone(),
            at: Instant::now(),
            targets: targets(&self.facts),
            others,
        };
        let last_sent = self.last_sent.as_ref();
        // Fields that rarely change are sent only on a change, since most
        // lines are about load.
        let same = last_sent
            .is_some_and(|last_sent| last_sent.others == current.others);
        report.entries = (!same).then(|| current.others.entries.clone());
        report.leading = (!same).then(|| current.others.leading.clone());
        report.listening = (!same).then_some(current.others.listening);
        let same = last_sent
            .is_some_and(|last_sent| last_sent.has_same_news(&current));
        report.news = (!same).then(|| News {
            targets: self.facts.target_ages(),
            ..current.news.clone().unwrap_or_default()
        });
        self.last_sent = Some(current);
        let mut line = serde_json::to_vec(&report).ok()?;
        line.push(b'\n');
        Some(Bytes::from(line))
    }
}

/// Returns the entries to announce to an entry of the agent's `hall`. None are
/// announced to entries of other halls, for which `hall` is `None`.
fn others(hall: Option<&str>, subscribers: &Subscribers) -> KnownEntries {
    let Some(hall) = hall else { return KnownEntries::default() };
    KnownEntries {
        entries: subscribers.first_ranked(),
        leading: subscribers.leading(hall),
        listening: subscribers.count(hall),
    }
}

fn targets(facts: &Facts) -> Vec<KnownTarget> {
    let ages = facts.target_ages().into_iter();
    ages.map(|t| {
        (t.model, t.version, t.age_ms.is_some(), t.previous.is_some())
    })
    .collect()
}

/// Waits for a change that should be sent. Returns `None` if no more reports
/// follow.
async fn changed(
    reports: &mut watch::Receiver<EngineReport>,
    last_sent: &SentLine,
    min_interval: Duration,
) -> Option<()> {
    reports.changed().await.ok()?;
    let due = last_sent.at + min_interval;
    let other = |report: &EngineReport| {
        !report.has_same_availability(&last_sent.report)
    };
    // A change of whether and what the engine serves ends the wait early.
    let serving_changed = reports.wait_for(other);
    let _ = tokio::time::timeout_at(due, serving_changed).await;
    Some(())
}
