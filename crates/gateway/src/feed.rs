//! A reader of the feeds of agents.
//!
//! Each agent polls the engine of its instance frequently, which is cheap
//! locally, and streams the changes to the entries that are connected. An
//! entry keeps one connection to each agent of its hall; the first-ranked
//! entries of a hall also connect to the agents of other halls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http_body_util::{BodyExt as _, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use stairhinge::Code;
use stairhinge::direct::Replica;
use stairhinge::placing::HallRole;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::{Client, headers};
use tokio::task::JoinHandle;

use crate::connect::connect;
use crate::dispatch::{Dispatcher, Verdict};
use crate::report::EngineReport;

/// The time without data after which a feed counts as lost.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The delay before a feed is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// The maximum delay while it is unknown which replicas are engines, because
/// no routes are known. Each failure then doubles the delay, since most
/// replicas may have no agent.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_600);

/// The maximum length of a line of a feed.
const MAX_LINE_BYTES: usize = 16 << 10;

/// The maximum size of the head of an agent's answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How often an agent is told what is known of the load that it has found, and
/// how long it may take to answer.
const VERDICT_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which an entry checks whether its role in the hall has
/// changed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A feed that should be open.
#[derive(Clone)]
struct DesiredFeed {
    replica: Arc<Replica>,
    /// Whether the agent reports every change of the load.
    all_changes: bool,
}

/// An open feed, with the task that reads it.
struct OpenFeed {
    all_changes: bool,
    task: JoinHandle<()>,
}

/// How an entry reads feeds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedConfig {
    /// The address at which other processes of the hall reach the entry.
    pub addr: Option<SocketAddr>,
    /// The port of agents.
    pub agent_port: u16,
    /// Whether one entry chooses replicas for the whole hall; otherwise every
    /// entry receives all changes of the load.
    pub hall_placing: bool,
}

/// Keeps the feeds open that the entry should read.
pub(crate) async fn follow_agents(
    dispatcher: Arc<Dispatcher>,
    config: FeedConfig,
) {
    let mut changes = dispatcher.facts().changes();
    let mut open: HashMap<Arc<str>, OpenFeed> = HashMap::new();
    loop {
        let desired = desired_feeds(&dispatcher, config);
        open.retain(|incarnation, feed| {
            let is_desired = desired
                .get(incarnation)
                .is_some_and(|d| d.all_changes == feed.all_changes);
            if !is_desired {
                feed.task.abort();
            }
            if !desired.contains_key(incarnation) {
                dispatcher.forget_confirmed(incarnation);
            }
            is_desired
        });
        for (incarnation, feed) in desired {
            open.entry(incarnation).or_insert_with(|| {
                let dispatcher = Arc::clone(&dispatcher);
                let all_changes = feed.all_changes;
                let task =
                    tokio::spawn(follow_agent(feed, dispatcher, config));
                OpenFeed { all_changes, task }
            });
        }
        dispatcher.dispatch_waiting(None);
        // A change of the role does not change the facts.
        let changed =
            tokio::time::timeout(ROLE_CHECK_INTERVAL, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

/// Returns the feeds that an entry should have open, by incarnation. If its
/// hall has no engine, these are the feeds of all other halls.
fn desired_feeds(
    dispatcher: &Dispatcher,
    config: FeedConfig,
) -> HashMap<Arc<str>, DesiredFeed> {
    let view = dispatcher.facts().view();
    let role = match config.addr {
        Some(own) if config.hall_placing => {
            HallRole::of(own, &dispatcher.leading_entries())
        }
        _ => HallRole::Placer,
    };
    let mut near = HashMap::new();
    let mut far = HashMap::new();
    for (replica, _) in view.replicas.values() {
        // Without routes any replica may be an engine, and its agent may
        // report peers from which the routes can be fetched.
        let routes = view.routes.as_ref();
        let service = routes.map(|r| r.service(&replica.service));
        let without_engine =
            service.is_some_and(|s| s.is_none_or(|s| s.engine.is_none()));
        if without_engine {
            continue;
        }
        let is_near = replica.hall == *dispatcher.hall();
        let feeds = if is_near { &mut near } else { &mut far };
        let all_changes = is_near && role == HallRole::Placer;
        let incarnation = Arc::clone(&replica.incarnation);
        let replica = Arc::clone(replica);
        feeds.insert(incarnation, DesiredFeed { replica, all_changes });
    }
    if near.is_empty() || role.listens_to_all_halls() {
        near.extend(far);
    }
    near
}

async fn follow_agent(
    feed: DesiredFeed,
    dispatcher: Arc<Dispatcher>,
    config: FeedConfig,
) {
    let ip = feed.replica.addr.ip();
    let addr = SocketAddr::new(ip, config.agent_port);
    let name = format!("agent {addr}");
    dispatcher.expect_report(&feed.replica.incarnation);
    let mut lost_since: Option<Instant> = None;
    let mut delay = RECONNECT_DELAY;
    loop {
        let mut received = false;
        let mut on_first = || {
            received = true;
            let Some(since) = lost_since.take() else { return };
            dispatcher.facts().log().write(&Decision::DependencyRegained {
                dependency: &name,
                lost_ms: since.elapsed().as_millis() as u64,
            });
        };
        let ended =
            read(&feed, addr, &dispatcher, config.addr, &mut on_first).await;
        if lost_since.is_none() {
            lost_since = Some(Instant::now());
            let reason = match ended {
                Ok(()) => "the agent closed the feed".to_string(),
                Err(err) => err.to_string(),
            };
            dispatcher.facts().log().write(&Decision::DependencyLost {
                dependency: &name,
                code: Code::PeerLost.number(),
                reason: &reason,
            });
        }
        dispatcher.drop_report(&feed.replica.incarnation);
        let routes_unknown = dispatcher.facts().view().routes.is_none();
        delay = if received || !routes_unknown {
            RECONNECT_DELAY
        } else {
            (delay * 2).min(MAX_RECONNECT_DELAY)
        };
        tokio::time::sleep(delay).await;
    }
}

type ReadResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;

async fn read(
    feed: &DesiredFeed,
    addr: SocketAddr,
    dispatcher: &Dispatcher,
    own: Option<SocketAddr>,
    on_first: &mut (dyn FnMut() + Send),
) -> ReadResult {
    let io = connect(addr).await?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io)
        .await?;
    let task = tokio::spawn(connection);
    let _guard = AbortOnDrop(task.abort_handle());
    let mut request = Request::get("/feed")
        .header(hyper::header::HOST, addr.to_string())
        .header(headers::HALL, &**dispatcher.hall());
    if !feed.all_changes {
        request = request.header(headers::SELDOM, "1");
    }
    if let Some(peers) = own {
        request = request.header(headers::READER, peers.to_string());
    }
    let request = request.body(Empty::<Bytes>::new())?;
    let response =
        tokio::time::timeout(FEED_TIMEOUT, sender.send_request(request))
            .await??;
    if !response.status().is_success() {
        return Err(format!("agent answered {}", response.status()).into());
    }
    let incarnation = &feed.replica.incarnation;
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    let mut told_at: Option<Instant> = None;
    loop {
        let frame = tokio::time::timeout(FEED_TIMEOUT, body.frame()).await?;
        let Some(frame) = frame else { return Ok(()) };
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
        let mut newest: Option<EngineReport> = None;
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            if line.len() > 1 {
                let mut report: EngineReport = serde_json::from_slice(&line)?;
                if let Some(earlier) = &mut newest {
                    report.fill_missing_from(earlier);
                }
                newest = Some(report);
            } else {
                dispatcher.confirm_report(incarnation);
            }
        }
        if let Some(report) = newest {
            on_first();
            dispatcher.learn_targets(&report);
            let sequence = report.sequence;
            let verdict = dispatcher.record_report(incarnation, report);
            let due = told_at.is_none_or(|at| at.elapsed() > VERDICT_INTERVAL);
            if let Some(verdict) = verdict.filter(|_| due) {
                told_at = Some(Instant::now());
                tell_verdict(feed, addr, dispatcher, sequence, verdict);
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err("a line exceeds the maximum length".into());
        }
    }
}

/// Tells an agent whether an agent has confirmed the load that it has found.
fn tell_verdict(
    feed: &DesiredFeed,
    addr: SocketAddr,
    dispatcher: &Dispatcher,
    sequence: u64,
    verdict: Verdict,
) {
    let confirmed = verdict == Verdict::Confirmed;
    dispatcher.facts().log().write(&Decision::LoadRemembered {
        replica: &feed.replica.incarnation,
        sequence,
        confirmed,
    });
    let path = match verdict {
        Verdict::Confirmed => format!("/loads/{sequence}/confirmed"),
        Verdict::Rejected => format!("/loads/{sequence}/rejected"),
    };
    tokio::spawn(async move {
        let client = Client::closing();
        // A lost message is repeated with a later report.
        let _ = client.get(addr, &path, 0, VERDICT_INTERVAL).await;
    });
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
