//! Reading the feeds of agents.
//!
//! The agent beside each engine asks it often, which costs nothing there,
//! and tells every entry that listens. An entry keeps one connection to each
//! agent, on which lines come as things change.

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
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use stairhinge_shell::http::headers;
use tokio::task::JoinHandle;

use crate::connect::connect;
use crate::dispatch::Dispatcher;
use crate::report::EngineReport;

/// A feed that says nothing for so long has lost its agent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The pause before a feed is opened again.
const PAUSE: Duration = Duration::from_millis(400);

/// The longest line of a feed, in bytes.
const MOST_LINE: usize = 16 << 10;

/// Keeps a feed open to the agent of each listed engine; `own` is where
/// others of the hall can ask this entry.
pub(crate) async fn follow_agents(
    facts: Arc<Facts>,
    dispatcher: Arc<Dispatcher>,
    agent_port: u16,
    own: Option<SocketAddr>,
) {
    let mut changes = facts.changes();
    let mut open: HashMap<Arc<str>, JoinHandle<()>> = HashMap::new();
    loop {
        let engines = engines(&facts);
        open.retain(|incarnation, task| {
            let listed = engines.contains_key(incarnation);
            if !listed {
                task.abort();
            }
            listed
        });
        for (incarnation, replica) in engines {
            open.entry(incarnation).or_insert_with(|| {
                let addr = SocketAddr::new(replica.addr.ip(), agent_port);
                let dispatcher = Arc::clone(&dispatcher);
                tokio::spawn(follow_one(replica, addr, dispatcher, own))
            });
        }
        dispatcher.pump();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn engines(facts: &Facts) -> HashMap<Arc<str>, Arc<Replica>> {
    let view = facts.view();
    let mut engines = HashMap::new();
    let Some(routes) = &view.routes else { return engines };
    for (replica, _) in view.replicas.values() {
        let service = routes.service(&replica.service);
        if service.is_some_and(|s| s.engine.is_some()) {
            let incarnation = Arc::clone(&replica.incarnation);
            engines.insert(incarnation, Arc::clone(replica));
        }
    }
    engines
}

async fn follow_one(
    replica: Arc<Replica>,
    addr: SocketAddr,
    dispatcher: Arc<Dispatcher>,
    own: Option<SocketAddr>,
) {
    let name = format!("agent {addr}");
    let mut lost: Option<Instant> = None;
    loop {
        let mut on_first = || {
            let Some(since) = lost.take() else { return };
            dispatcher.facts().log().write(&Decision::DependencyRegained {
                dependency: &name,
                lost_ms: since.elapsed().as_millis() as u64,
            });
        };
        let ended =
            read(&replica, addr, &dispatcher, own, &mut on_first).await;
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
        dispatcher.unreport(&replica.incarnation);
        tokio::time::sleep(PAUSE).await;
    }
}

type ReadResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;

async fn read(
    replica: &Replica,
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
    if let Some(peers) = own {
        request = request.header(headers::READER, peers.to_string());
    }
    let request = request.body(Empty::<Bytes>::new())?;
    let response =
        tokio::time::timeout(SILENCE, sender.send_request(request)).await??;
    if !response.status().is_success() {
        return Err(format!("answers {}", response.status()).into());
    }
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
                    report.keep_from(earlier);
                }
                newest = Some(report);
            } else {
                dispatcher.confirm(&replica.incarnation);
            }
        }
        if let Some(report) = newest {
            on_first();
            dispatcher.learn(&report);
            dispatcher.report(&replica.incarnation, report);
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
