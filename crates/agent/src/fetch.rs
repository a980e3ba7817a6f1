//! Drawing the chunks of a target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{Request, Response};
use stairhinge::document::agents_by_hall;
use stairhinge::serving::Target;
use stairhinge::weights::{
    Chunk, ChunkRequest, Manifest, Puller, Source, SourceRanking,
};
use stairhinge::{Code, Digest, Error, rank};
use stairhinge_shell::http::{Body, empty, full, headers};

use crate::agent::Agent;
use crate::engine;
use crate::weights::{Question, unpack};

/// How long to wait before looking again when nobody can be asked.
const PAUSE: Duration = Duration::from_millis(50);

/// The largest manifest.
const MOST_MANIFEST: u32 = 2 << 20;

/// What a source answered.
enum Answer {
    Chunk(Digest, Bytes),
    NotYet,
}

/// What a source answered, and what it says that it holds.
struct Answered {
    answer: Answer,
    held: Option<Vec<bool>>,
}

/// Draws all chunks of a target, manifests first.
pub(crate) async fn run(
    agent: &Arc<Agent>,
    target: &Target,
) -> Result<(), Error> {
    agent.begin(target);
    if engine_holds(agent, target).await {
        agent.note("the engine holds it already; nothing is fetched");
        return Ok(());
    }
    let manifests = target.manifests();
    let mut heads = Vec::new();
    for digest in manifests {
        // The size of a manifest is not declared; its digest is.
        heads.push(Chunk::with_digest(*digest, MOST_MANIFEST));
    }
    draw(agent, target, &heads, &[]).await?;
    let mut chunks = Vec::new();
    let mut size = 0;
    for digest in manifests {
        let held = agent.store().get(digest);
        let Some(bytes) = held else { continue };
        let manifest = Manifest::parse(&bytes, *digest)?;
        size += manifest.size();
        chunks.extend_from_slice(manifest.chunks());
    }
    agent.store().check_fits(size)?;
    draw(agent, target, &chunks, manifests).await
}

async fn engine_holds(agent: &Agent, target: &Target) -> bool {
    let addr = agent.settings.backend;
    let state = engine::state(agent.node.client(), addr).await;
    state.is_ok_and(|s| s.manifests == target.manifests())
}

async fn draw(
    agent: &Arc<Agent>,
    target: &Target,
    chunks: &[Chunk],
    manifests: &[Digest],
) -> Result<(), Error> {
    let mut puller = puller(agent, target, chunks);
    let mut asked = FuturesUnordered::new();
    let mut bytes_in = 0u64;
    let start = Instant::now();
    while !puller.is_complete() {
        let now = agent.node.now();
        for ask in puller.poll(now) {
            asked.push(one(Arc::clone(agent), ask, manifests.to_vec()));
        }
        if asked.is_empty() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let timer = tokio::time::sleep(PAUSE);
        let done = tokio::select! {
            done = asked.next() => done,
            () = timer => None,
        };
        let Some((source, answered)) = done else { continue };
        let got = take(agent, &mut puller, &source, answered);
        bytes_in += got;
        let share = puller.held_permille();
        let secs = start.elapsed().as_secs_f64().max(0.001);
        agent.paced(share, (bytes_in as f64 / secs / 1000.0) as u32);
    }
    Ok(())
}

fn puller(agent: &Agent, target: &Target, chunks: &[Chunk]) -> Puller {
    let node = &agent.node;
    let view = node.view();
    let me = node.identity();
    let mut halls = Vec::new();
    let mut budget = 1;
    let mut patience = agent.settings.patience();
    if let Some(fleet) = &view.fleet {
        halls = agents_by_hall(fleet, &view.listing, target.model());
        budget = fleet.origin_budget();
        patience = patience.preferring(fleet.prefer());
    }
    let mut subject = Vec::new();
    for digest in target.manifests() {
        subject.extend_from_slice(digest.as_bytes());
    }
    let walk =
        SourceRanking::new(&subject, &halls, &me.hall, &me.name, budget);
    let strategy = agent.settings.values.text("strategy");
    let walk = match &*strategy {
        "direct" => walk.direct(),
        "tree" => walk.tree(),
        _ => walk,
    };
    let turn = rank::score(&subject, &me.name) as usize % chunks.len().max(1);
    Puller::new(walk, chunks, patience, turn, |d| agent.store().contains(d))
}

fn take(
    agent: &Agent,
    puller: &mut Puller,
    source: &Source,
    answered: Result<Answered, Error>,
) -> u64 {
    let now = agent.node.now();
    let name = source.name();
    let answered = match answered {
        Ok(answered) => answered,
        Err(err) => {
            if err.code() == Code::CorruptChunk {
                agent.node.metrics().spoiled(kind(source));
            }
            agent.note(&format!("left {name}: {err}"));
            let code = err.code().to_string();
            let fields = [("from", name), ("code", code.as_str())];
            agent.node.event("weights.failed", &fields);
            puller.record_failure(source, now);
            return 0;
        }
    };
    if let Some(held) = answered.held {
        puller.record_holdings(source, held.into_iter());
    }
    let (digest, bytes) = match answered.answer {
        Answer::NotYet => {
            puller.record_not_yet(source, now);
            return 0;
        }
        Answer::Chunk(digest, bytes) => (digest, bytes),
    };
    let size = bytes.len() as u64;
    match agent.keep(digest, bytes) {
        Ok(()) => {
            puller.record_chunk(source, &digest);
            agent.node.metrics().received(kind(source), size);
            agent.drew(name);
            size
        }
        Err(err) => {
            if err.code() == Code::CorruptChunk {
                agent.node.metrics().spoiled(kind(source));
            }
            agent.note(&format!("left {name}: {err}"));
            puller.record_failure(source, now);
            0
        }
    }
}

/// The word for a source in metrics.
fn kind(source: &Source) -> &'static str {
    match source {
        Source::Near(_) => "near",
        Source::Far(_) => "far",
        Source::Origin => "origin",
    }
}

async fn one(
    agent: Arc<Agent>,
    ask: ChunkRequest,
    manifests: Vec<Digest>,
) -> (Source, Result<Answered, Error>) {
    let source = ask.source().clone();
    let answered = match &source {
        Source::Origin => origin(&agent, &ask).await,
        Source::Near(name) | Source::Far(name) => {
            peer(&agent, name, &ask, &manifests).await
        }
    };
    (source, answered)
}

async fn origin(agent: &Agent, ask: &ChunkRequest) -> Result<Answered, Error> {
    let none = || Error::new(Code::NoSource, "no origin in the settings");
    let addr = agent.settings.origin.ok_or_else(none)?;
    let digest = *ask.want().first().ok_or_else(none)?;
    let request = Request::get(format!("/blobs/{digest}"))
        .body(empty())
        .map_err(|e| Error::new(Code::Internal, e))?;
    let within = agent.settings.stall();
    let response = agent
        .node
        .client()
        .send(addr, request, within)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let status = response.status().as_u16();
    if status != 200 {
        let why = format!("origin answers {status} for {digest}");
        return Err(Error::new(Code::NoSource, why));
    }
    let bytes = body(agent, response).await?;
    Ok(Answered { answer: Answer::Chunk(digest, bytes), held: None })
}

async fn peer(
    agent: &Agent,
    name: &str,
    ask: &ChunkRequest,
    manifests: &[Digest],
) -> Result<Answered, Error> {
    let view = agent.node.view();
    let found = view.listing.get(name).map(|i| i.http);
    let gone = || Error::new(Code::NoSource, format!("{name} is not listed"));
    let addr = found.ok_or_else(gone)?;
    let asked = if ask.is_first_contact() { manifests } else { &[] };
    let question = Question {
        want: ask.want().to_vec(),
        hold_ms: ask.hold().as_millis() as u64,
        manifests: asked.to_vec(),
    };
    let json = serde_json::to_vec(&question)
        .map_err(|e| Error::new(Code::Internal, e))?;
    let request: Request<Body> = Request::post("/weights/any")
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let within = agent.settings.stall() + ask.hold();
    let response = agent
        .node
        .client()
        .send(addr, request, within)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let text = |header| {
        let value = response.headers().get(header)?;
        value.to_str().ok().map(ToString::to_string)
    };
    let held = text(headers::HELD).map(|t| unpack(&t));
    let digest = text(headers::DIGEST);
    let answer = match response.status().as_u16() {
        204 => Answer::NotYet,
        200 => {
            let digest: Digest = digest.unwrap_or_default().parse()?;
            if !ask.want().contains(&digest) {
                let why = format!("{name} sent {digest}, not asked for");
                return Err(Error::new(Code::CorruptChunk, why));
            }
            Answer::Chunk(digest, body(agent, response).await?)
        }
        other => {
            let why = format!("{name} answers {other}");
            return Err(Error::new(Code::NoSource, why));
        }
    };
    Ok(Answered { answer, held })
}

/// Reads a chunk, as long as it makes progress, over the shaped link.
async fn body(
    agent: &Agent,
    response: Response<Incoming>,
) -> Result<Bytes, Error> {
    let stall = agent.settings.stall();
    let mut incoming = response.into_body();
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(stall, incoming.frame()).await;
        let frame = frame.map_err(|_| {
            let ms = stall.as_millis();
            Error::new(Code::Stalled, format!("no byte for {ms} ms"))
        })?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| Error::new(Code::NoSource, e))?;
        if let Ok(data) = frame.into_data() {
            agent.links.down.take(data.len() as u64).await;
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Counts where chunks came from, for `explain`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drawn {
    counts: HashMap<String, u32>,
    share: u32,
    rate: u32,
}

impl Drawn {
    pub(crate) fn lines(&self) -> Vec<String> {
        let mut names: Vec<_> = self.counts.iter().collect();
        names.sort();
        let mut lines = Vec::new();
        for (name, count) in names {
            lines.push(format!("{count} chunks from {name}"));
        }
        lines.push(format!(
            "{:.1} % here, at {} KB/s",
            f64::from(self.share) / 10.0,
            self.rate
        ));
        lines
    }
}

impl Agent {
    /// The most notes that are kept of one version's way here.
    const MOST_NOTES: usize = 100;

    fn begin(&self, target: &Target) {
        let mut progress = self.progress();
        progress.version = Arc::clone(target.version());
        progress.lines.clear();
        progress.drawn = Drawn::default();
    }

    fn note(&self, line: &str) {
        let mut progress = self.progress();
        if progress.lines.len() < Agent::MOST_NOTES {
            progress.lines.push(line.to_string());
        }
    }

    fn drew(&self, source: &str) {
        let mut progress = self.progress();
        *progress.drawn.counts.entry(source.to_string()).or_default() += 1;
    }

    fn paced(&self, share: u32, rate: u32) {
        let mut progress = self.progress();
        progress.drawn.share = share;
        progress.drawn.rate = rate;
    }

    /// Returns share (per mille) and rate (KB/s) of the newest draw.
    pub(crate) fn pace(&self) -> (u32, u32) {
        let progress = self.progress();
        (progress.drawn.share, progress.drawn.rate)
    }
}
