//! Fetching the chunks of a target from peers and the origin.

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
use crate::weights::{Question, decode_bits};

/// The interval at which the puller is polled for new requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum size of a manifest, in bytes.
const MAX_MANIFEST_BYTES: u32 = 2 << 20;

/// A source's answer to a chunk request.
enum Answer {
    Chunk(Digest, Bytes),
    NotYet,
}

/// A source's answer, with the chunks that it reports to hold.
struct SourceAnswer {
    answer: Answer,
    held: Option<Vec<bool>>,
}

/// Fetches all chunks of a target, starting with the manifests.
pub(crate) async fn run(
    agent: &Arc<Agent>,
    target: &Target,
) -> Result<(), Error> {
    agent.reset_progress(target);
    if engine_holds(agent, target).await {
        agent.add_note(
            "the engine has already loaded this version; nothing to fetch",
        );
        return Ok(());
    }
    let manifests = target.manifests();
    let mut manifest_chunks = Vec::new();
    for digest in manifests {
        // A declaration has only the digest of a manifest, not its size.
        manifest_chunks.push(Chunk::with_digest(*digest, MAX_MANIFEST_BYTES));
    }
    fetch_chunks(agent, target, &manifest_chunks, &[]).await?;
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
    fetch_chunks(agent, target, &chunks, manifests).await
}

async fn engine_holds(agent: &Agent, target: &Target) -> bool {
    let addr = agent.settings.backend;
    let state = engine::state(agent.node.client(), addr).await;
    state.is_ok_and(|s| s.manifests == target.manifests())
}

async fn fetch_chunks(
    agent: &Arc<Agent>,
    target: &Target,
    chunks: &[Chunk],
    manifests: &[Digest],
) -> Result<(), Error> {
    let mut puller = new_puller(agent, target, chunks);
    let mut pending = FuturesUnordered::new();
    let mut bytes_in = 0u64;
    let start = Instant::now();
    while !puller.is_complete() {
        let now = agent.node.now();
        for ask in puller.poll(now) {
            pending.push(request_chunk(
                Arc::clone(agent),
                ask,
                manifests.to_vec(),
            ));
        }
        if pending.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let timer = tokio::time::sleep(POLL_INTERVAL);
        let done = tokio::select! {
            done = pending.next() => done,
            () = timer => None,
        };
        let Some((source, answered)) = done else { continue };
        let got = record_answer(agent, &mut puller, &source, answered);
        bytes_in += got;
        let share = puller.held_permille();
        let secs = start.elapsed().as_secs_f64().max(0.001);
        agent.record_rate(share, (bytes_in as f64 / secs / 1000.0) as u32);
    }
    Ok(())
}

fn new_puller(agent: &Agent, target: &Target, chunks: &[Chunk]) -> Puller {
    let node = &agent.node;
    let view = node.view();
    let me = node.identity();
    let mut halls = Vec::new();
    let mut budget = 1;
    let mut limits = agent.settings.fetch_timeouts();
    if let Some(fleet) = &view.fleet {
        halls = agents_by_hall(fleet, &view.listing, target.model());
        budget = fleet.origin_budget();
        limits = limits.preferring(fleet.prefer());
    }
    let mut subject = Vec::new();
    for digest in target.manifests() {
        subject.extend_from_slice(digest.as_bytes());
    }
    let ranking =
        SourceRanking::new(&subject, &halls, &me.hall, &me.name, budget);
    let strategy = agent.settings.values.text("strategy");
    let ranking = match &*strategy {
        "direct" => ranking.direct(),
        "tree" => ranking.tree(),
        _ => ranking,
    };
    let offset =
        rank::score(&subject, &me.name) as usize % chunks.len().max(1);
    Puller::new(ranking, chunks, limits, offset, |d| agent.store().contains(d))
}

fn record_answer(
    agent: &Agent,
    puller: &mut Puller,
    source: &Source,
    answered: Result<SourceAnswer, Error>,
) -> u64 {
    let now = agent.node.now();
    let name = source.name();
    let answered = match answered {
        Ok(answered) => answered,
        Err(err) => {
            if err.code() == Code::CorruptChunk {
                agent.node.metrics().corrupt_chunk(source_label(source));
            }
            agent.add_note(&format!("source {name} failed: {err}"));
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
    match agent.store_chunk(digest, bytes) {
        Ok(()) => {
            puller.record_chunk(source, &digest);
            agent.node.metrics().received(source_label(source), size);
            agent.count_chunk(name);
            size
        }
        Err(err) => {
            if err.code() == Code::CorruptChunk {
                agent.node.metrics().corrupt_chunk(source_label(source));
            }
            agent.add_note(&format!("source {name} failed: {err}"));
            puller.record_failure(source, now);
            0
        }
    }
}

/// Returns the metric label of a source.
fn source_label(source: &Source) -> &'static str {
    match source {
        Source::Near(_) => "near",
        Source::Far(_) => "far",
        Source::Origin => "origin",
    }
}

async fn request_chunk(
    agent: Arc<Agent>,
    ask: ChunkRequest,
    manifests: Vec<Digest>,
) -> (Source, Result<SourceAnswer, Error>) {
    let source = ask.source().clone();
    let answered = match &source {
        Source::Origin => request_from_origin(&agent, &ask).await,
        Source::Near(name) | Source::Far(name) => {
            request_from_peer(&agent, name, &ask, &manifests).await
        }
    };
    (source, answered)
}

async fn request_from_origin(
    agent: &Agent,
    ask: &ChunkRequest,
) -> Result<SourceAnswer, Error> {
    let none = || Error::new(Code::NoSource, "the settings name no origin");
    let addr = agent.settings.origin.ok_or_else(none)?;
    let digest = *ask.want().first().ok_or_else(none)?;
    let request = Request::get(format!("/blobs/{digest}"))
        .body(empty())
        .map_err(|e| Error::new(Code::Internal, e))?;
    let timeout = agent.settings.stall_timeout();
    let response = agent
        .node
        .client()
        .send(addr, request, timeout)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let status = response.status().as_u16();
    if status != 200 {
        let why = format!("the origin answered status {status} for {digest}");
        return Err(Error::new(Code::NoSource, why));
    }
    let bytes = read_chunk(agent, response).await?;
    Ok(SourceAnswer { answer: Answer::Chunk(digest, bytes), held: None })
}

async fn request_from_peer(
    agent: &Agent,
    name: &str,
    ask: &ChunkRequest,
    manifests: &[Digest],
) -> Result<SourceAnswer, Error> {
    let view = agent.node.view();
    let found = view.listing.get(name).map(|i| i.http);
    let gone =
        || Error::new(Code::NoSource, format!("{name} is not in the listing"));
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
    let timeout = agent.settings.stall_timeout() + ask.hold();
    let response = agent
        .node
        .client()
        .send(addr, request, timeout)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let text = |header| {
        let value = response.headers().get(header)?;
        value.to_str().ok().map(ToString::to_string)
    };
    let held = text(headers::HELD).map(|t| decode_bits(&t));
    let digest = text(headers::DIGEST);
    let answer = match response.status().as_u16() {
        204 => Answer::NotYet,
        200 => {
            let digest: Digest = digest.unwrap_or_default().parse()?;
            if !ask.want().contains(&digest) {
                let why =
                    format!("{name} sent {digest}, which was not requested");
                return Err(Error::new(Code::CorruptChunk, why));
            }
            Answer::Chunk(digest, read_chunk(agent, response).await?)
        }
        other => {
            let why = format!("{name} answered status {other}");
            return Err(Error::new(Code::NoSource, why));
        }
    };
    Ok(SourceAnswer { answer, held })
}

/// Reads a chunk over the rate-limited link. Fails if no data arrives within
/// the stall timeout.
async fn read_chunk(
    agent: &Agent,
    response: Response<Incoming>,
) -> Result<Bytes, Error> {
    let stall = agent.settings.stall_timeout();
    let mut incoming = response.into_body();
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(stall, incoming.frame()).await;
        let frame = frame.map_err(|_| {
            let ms = stall.as_millis();
            Error::new(Code::Stalled, format!("no data received for {ms} ms"))
        })?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| Error::new(Code::NoSource, e))?;
        if let Ok(data) = frame.into_data() {
            agent.links.download.take(data.len() as u64).await;
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// The number of chunks from each source, with the fetched share (per mille)
/// and the rate (KB/s).
#[derive(Clone, Debug, Default)]
pub(crate) struct FetchStats {
    counts: HashMap<String, u32>,
    share: u32,
    rate: u32,
}

impl FetchStats {
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
    /// The maximum number of notes kept about the fetch of one version.
    const MAX_NOTES: usize = 100;

    fn reset_progress(&self, target: &Target) {
        let mut progress = self.progress();
        progress.version = Arc::clone(target.version());
        progress.lines.clear();
        progress.stats = FetchStats::default();
    }

    fn add_note(&self, line: &str) {
        let mut progress = self.progress();
        if progress.lines.len() < Agent::MAX_NOTES {
            progress.lines.push(line.to_string());
        }
    }

    fn count_chunk(&self, source: &str) {
        let mut progress = self.progress();
        *progress.stats.counts.entry(source.to_string()).or_default() += 1;
    }

    fn record_rate(&self, share: u32, rate: u32) {
        let mut progress = self.progress();
        progress.stats.share = share;
        progress.stats.rate = rate;
    }

    /// Returns the share (per mille) and rate (KB/s) of the latest fetch.
    pub(crate) fn fetch_rate(&self) -> (u32, u32) {
        let progress = self.progress();
        (progress.stats.share, progress.stats.rate)
    }
}
