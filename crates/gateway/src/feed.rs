//! Reading the feeds of agents.
//!
//! The agent beside each engine asks it often, which costs nothing there,
//! and tells every entry that listens. An entry keeps one connection to each
//! agent of its hall, on which lines come as things change; those that lead
//! the hall also listen to the agents elsewhere.

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
use stairhinge_shell::http::headers;
use tokio::task::JoinHandle;

use crate::connect::connect;
use crate::dispatch::Dispatcher;
use crate::report::EngineReport;

/// A feed that says nothing for so long has lost its agent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The pause before a feed is opened again.
const PAUSE: Duration = Duration::from_millis(400);

/// The longest pause while no routes tell which replicas are engines: each
/// failure doubles it, since most replicas may have no agent.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// The longest line of a feed, in bytes.
const MOST_LINE: usize = 16 << 10;

/// How often an entry looks whether its part in the hall has changed.
const LOOK: Duration = Duration::from_millis(250);

/// A feed that should be open.
#[derive(Clone)]
struct Wanted {
    replica: Arc<Replica>,
    /// Whether mere load is told as it changes.
    often: bool,
}

/// An open feed.
struct Open {
    often: bool,
    task: JoinHandle<()>,
}

/// An entry as a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedListener {
    /// Where others of the hall can ask it.
    pub addr: Option<SocketAddr>,
    /// The port of agents.
    pub agent_port: u16,
    /// Whether one entry places for the hall; else each hears all.
    pub hall_placing: bool,
}

/// Keeps a feed open to the agents that an entry should listen to.
pub(crate) async fn follow_agents(
    dispatcher: Arc<Dispatcher>,
    listener: FeedListener,
) {
    let mut changes = dispatcher.facts().changes();
    let mut open: HashMap<Arc<str>, Open> = HashMap::new();
    loop {
        let wanted = wanted(&dispatcher, listener);
        open.retain(|incarnation, feed| {
            let stays =
                wanted.get(incarnation).is_some_and(|w| w.often == feed.often);
            if !stays {
                feed.task.abort();
            }
            stays
        });
        for (incarnation, feed) in wanted {
            open.entry(incarnation).or_insert_with(|| {
                let dispatcher = Arc::clone(&dispatcher);
                let often = feed.often;
                let task =
                    tokio::spawn(follow_one(feed, dispatcher, listener));
                Open { often, task }
            });
        }
        dispatcher.pump(None);
        // A part that has changed shows in no fact.
        let changed = tokio::time::timeout(LOOK, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

/// Returns the feeds that an entry should have open, by incarnation. Where
/// its hall has no engine, those of all other halls.
fn wanted(
    dispatcher: &Dispatcher,
    listener: FeedListener,
) -> HashMap<Arc<str>, Wanted> {
    let view = dispatcher.facts().view();
    let role = match listener.addr {
        Some(own) if listener.hall_placing => {
            HallRole::of(own, &dispatcher.ranked())
        }
        _ => HallRole::Placer,
    };
    let mut near = HashMap::new();
    let mut far = HashMap::new();
    for (replica, _) in view.replicas.values() {
        // Without routes any replica may be an engine: its agent tells of
        // neighbours from which the routes are to be had.
        let routes = view.routes.as_ref();
        let service = routes.map(|r| r.service(&replica.service));
        let plain =
            service.is_some_and(|s| s.is_none_or(|s| s.engine.is_none()));
        if plain {
            continue;
        }
        let is_near = &*replica.hall == dispatcher.hall();
        let feeds = if is_near { &mut near } else { &mut far };
        let often = is_near && role == HallRole::Placer;
        let incarnation = Arc::clone(&replica.incarnation);
        let replica = Arc::clone(replica);
        feeds.insert(incarnation, Wanted { replica, often });
    }
    if near.is_empty() || role.listens_to_all_halls() {
        near.extend(far);
    }
    near
}

async fn follow_one(
    feed: Wanted,
    dispatcher: Arc<Dispatcher>,
    listener: FeedListener,
) {
    let ip = feed.replica.addr.ip();
    let addr = SocketAddr::new(ip, listener.agent_port);
    let name = format!("agent {addr}");
    let mut lost: Option<Instant> = None;
    let mut pause = PAUSE;
    loop {
        let mut heard = false;
        let mut on_first = || {
            heard = true;
            let Some(since) = lost.take() else { return };
            dispatcher.facts().log().write(&Decision::DependencyRegained {
                dependency: &name,
                lost_ms: since.elapsed().as_millis() as u64,
            });
        };
        let ended =
            read(&feed, addr, &dispatcher, listener.addr, &mut on_first).await;
        if lost.is_none() {
            lost = Some(Instant::now());
            let reason = match ended {
                Ok(()) => "the feed ended".to_string(),
                Err(err) => err.to_string(),
            };
            dispatcher.facts().log().write(&Decision::DependencyLost {
                dependency: &name,
                code: Code::PeerLost.number(),
                reason: &reason,
            });
        }
        dispatcher.unreport(&feed.replica.incarnation);
        let guessed = dispatcher.facts().view().routes.is_none();
        pause = if heard || !guessed {
            PAUSE
        } else {
            (pause * 2).min(LONGEST_PAUSE)
        };
        tokio::time::sleep(pause).await;
    }
}

type ReadResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;

async fn read(
    feed: &Wanted,
    addr: SocketAddr,
    dispatcher: &Dispatcher,
    own: Option<SocketAddr>,
    on_first: &mut (dyn FnMut() + Send),
) -> ReadResult {
    let io = connect(addr).await?;
    let (mut sender, connection) = http1::Builder::new().handshake(io).await?;
    let task = tokio::spawn(connection);
    let _guard = AbortOnDrop(task.abort_handle());
    let mut request = Request::get("/feed")
        .header(hyper::header::HOST, addr.to_string())
        .header(headers::HALL, dispatcher.hall());
    if !feed.often {
        request = request.header(headers::SELDOM, "1");
    }
    if let Some(peers) = own {
        request = request.header(headers::READER, peers.to_string());
    }
    let request = request.body(Empty::<Bytes>::new())?;
    let response =
        tokio::time::timeout(SILENCE, sender.send_request(request)).await??;
    if !response.status().is_success() {
        return Err(format!("answers {}", response.status()).into());
    }
    let incarnation = &feed.replica.incarnation;
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(SILENCE, body.frame()).await?;
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
                dispatcher.confirm(incarnation);
            }
        }
        if let Some(report) = newest {
            on_first();
            dispatcher.learn(&report);
            dispatcher.report(incarnation, report);
        }
        if buffer.len() > MOST_LINE {
            return Err("line too long".into());
        }
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
