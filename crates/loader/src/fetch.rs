//! Drawing the chunks of a version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::weights::{
    Chunk, ChunkRequest, Patience, Puller, QuestionQueue, Source, Takeover,
    Walk,
};
use stairhinge::{Code, Digest, Error, rank};
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::holdings::Held;
use crate::manifest::VersionManifest;
use crate::peer_list::{Relist, origin_addr, peers};
use crate::peers::{PeerAnswer, Question, ask};
use crate::turn::Turn;

/// How long to wait before looking again when nobody can be asked.
const PAUSE: Duration = Duration::from_millis(50);

/// How often it is logged how a fetch stands.
const PROGRESS: Duration = Duration::from_millis(1_000);

/// How long a fetch lasts until the list of peers is read again; each next
/// time it takes twice as long. Who leaves is noticed by failures, and who
/// comes has nothing to give yet.
const RELIST: Duration = Duration::from_millis(1_000);

/// How many draws on the origin a fetch makes before peers are asked.
const ORIGIN_COPIES: u32 = 1;

/// A peer that answers is not left because it has nothing yet: while the
/// origin is down nobody has, and all would turn to the origin at once.
const NEVER: Duration = Duration::from_secs(3_600);

/// When an agent that is not in charge of a chunk draws it from the origin.
const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

/// How much sooner than it can be sent a chunk is asked of the origin.
const ORIGIN_AHEAD: f64 = 0.7;

/// How many agents of its hall each one passes a chunk on to.
const FANOUT: usize = 2;

/// The most missing chunks that are named in the log.
const MOST_LOGGED: usize = 6;

/// Spoilt chunks after which the manifest itself is doubted.
const DOUBT_MANIFEST: u32 = 12;

/// How chunks came here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drawn {
    pub near: u32,
    pub far: u32,
    pub origin: u32,
}

impl Drawn {
    fn count(&mut self, source: &Source) {
        match source {
            Source::Near(_) => self.near += 1,
            Source::Far(_) => self.far += 1,
            Source::Origin => self.origin += 1,
        }
    }
}

/// Draws what is missing of a version and stages it at the engine.
///
/// # Errors
///
/// [`Code::BadManifest`] if chunks keep failing, so that the manifest itself
/// is in doubt.
pub(crate) async fn fetch(
    agent: &Arc<Agent>,
    manifest: &Arc<VersionManifest>,
    turn: &Turn,
) -> Result<Drawn, Error> {
    let started = Instant::now();
    let held =
        manifest.digests.iter().filter(|d| agent.holdings.holds(d)).count();
    agent.facts.log().write(&Decision::FetchBegun {
        model: &manifest.model,
        version: manifest.version,
        held,
        chunks: manifest.digests.len(),
    });
    let mut drawn = Drawn::default();
    let mut spoilt = 0;
    let mut known = peers(agent);
    let mut puller = puller(agent, manifest, &known);
    let mut ready = QuestionQueue::new();
    let mut asked = FuturesUnordered::new();
    let mut logged = Instant::now();
    let mut listed_next = started + RELIST;
    let mut relist = Relist::default();
    while !puller.done() {
        let now = agent.facts.now();
        turn.consider(agent, puller.is_ending(now));
        for question in puller.poll(now) {
            ready.push(question);
        }
        let most = agent.link_share().questions(known.len().max(1) + 1);
        while let Some(question) = ready.next(asked.len(), most) {
            asked.push(put(agent, manifest, question));
        }
        let timer = tokio::time::sleep(PAUSE);
        let done = tokio::select! {
            Some(done) = asked.next() => Some(done),
            () = timer => None,
        };
        if let Some((source, answer)) = done {
            let taken =
                take(agent, manifest, &mut puller, &source, answer).await;
            match taken {
                Ok(true) => {
                    agent.note_moved();
                    drawn.count(&source);
                }
                Ok(false) => {}
                Err(error) => {
                    log_failure(agent, source.name(), &error);
                    puller.failed(&source, agent.facts.now());
                    if source == Source::Origin {
                        agent.doubt_origin();
                    }
                    let corrupt = error.code() == Code::CorruptChunk;
                    spoilt += u32::from(corrupt);
                }
            }
            if spoilt >= DOUBT_MANIFEST {
                let why = format!("{spoilt} chunks did not fit it");
                return Err(Error::new(Code::BadManifest, why));
            }
        }
        if logged.elapsed() > PROGRESS {
            logged = Instant::now();
            log_progress(agent, &puller);
        }
        if Instant::now() > listed_next {
            listed_next += started.elapsed();
            relist.start(agent);
        }
        let now = peers(agent);
        if now != known {
            known = now;
            puller.set_walk(walk(agent, manifest, &known));
        }
    }
    agent.facts.log().write(&Decision::FetchDone {
        model: &manifest.model,
        version: manifest.version,
        took_ms: started.elapsed().as_millis() as u64,
        near: drawn.near,
        far: drawn.far,
        origin: drawn.origin,
    });
    Ok(drawn)
}

fn log_progress(agent: &Agent, puller: &Puller) {
    let (asked, suspects) = puller.standing(agent.facts.now());
    let share = agent.link_share();
    agent.facts.log().write(&Decision::FetchProgress {
        share: puller.share(),
        missing: puller.missing().take(MOST_LOGGED).collect(),
        link_part: share.part(),
        uplink_part: share.uplink(),
        asked: asked.iter().map(Source::name).collect(),
        suspects: suspects.iter().map(Source::name).collect(),
    });
}

/// Returns what names a version in ranks.
fn subject(manifest: &VersionManifest) -> String {
    format!("{}@{}", manifest.model, manifest.version)
}

/// Returns the ranks of all agents for a version.
fn walk(
    agent: &Agent,
    manifest: &VersionManifest,
    peers: &[(Arc<str>, SocketAddr)],
) -> Walk {
    let me: Arc<str> = Arc::from(agent.addr().to_string());
    let mut halls: Vec<(Arc<str>, Vec<Arc<str>>)> = Vec::new();
    for (hall, addr) in peers {
        let name = Arc::from(addr.to_string());
        match halls.iter_mut().find(|(h, _)| h == hall) {
            Some((_, agents)) => agents.push(name),
            None => halls.push((Arc::clone(hall), vec![name])),
        }
    }
    let subject = subject(manifest);
    let hall = &agent.settings.hall;
    Walk::new(subject.as_bytes(), &halls, hall, &me, ORIGIN_COPIES)
        .with_fanout(FANOUT)
}

fn puller(
    agent: &Agent,
    manifest: &VersionManifest,
    peers: &[(Arc<str>, SocketAddr)],
) -> Puller {
    let mut chunks = Vec::new();
    for digest in &manifest.digests {
        chunks.push(Chunk::named(*digest, manifest.chunk_bytes));
    }
    let me = agent.addr().to_string();
    let turn = rank::score(subject(manifest).as_bytes(), &me) as usize;
    let turn = turn % chunks.len().max(1);
    // A little ahead, so that the origin's link is never idle: it may go
    // down soon after a version is named.
    let origin_pace =
        agent.live.get().transfer(manifest.chunk_bytes).mul_f64(ORIGIN_AHEAD);
    let patience = Patience::new()
        .with_hold(Duration::from_millis(800))
        .with_waiting(NEVER)
        .with_suspect(Duration::from_millis(2_000))
        .with_takeover(TAKEOVER)
        .with_origin_pace(origin_pace);
    let walk = walk(agent, manifest, peers);
    Puller::new(walk, &chunks, patience, turn, |d| agent.holdings.holds(d))
}

/// Puts one question to its source.
async fn put(
    agent: &Arc<Agent>,
    manifest: &Arc<VersionManifest>,
    question: ChunkRequest,
) -> (Source, Result<PeerAnswer, Error>) {
    let source = question.source().clone();
    let answer = match &source {
        Source::Origin => from_origin(agent, manifest, &question).await,
        Source::Near(name) | Source::Far(name) => {
            from_peer(agent, manifest, name, &question).await
        }
    };
    (source, answer)
}

async fn from_origin(
    agent: &Agent,
    manifest: &VersionManifest,
    question: &ChunkRequest,
) -> Result<PeerAnswer, Error> {
    let nothing = || Error::new(Code::Internal, "nothing was wanted");
    let addr = origin_addr(agent)?;
    let digest = *question.want().first().ok_or_else(nothing)?;
    let index = manifest.index(&digest).ok_or_else(nothing)?;
    let (model, version) = (&manifest.model, manifest.version);
    let bytes = agent.origin.chunk(addr, model, version, index).await?;
    Ok(PeerAnswer { chunk: Some((index, bytes)), held: Vec::new() })
}

async fn from_peer(
    agent: &Agent,
    manifest: &VersionManifest,
    name: &str,
    question: &ChunkRequest,
) -> Result<PeerAnswer, Error> {
    let addr: SocketAddr =
        name.parse().map_err(|e| Error::new(Code::BadAddress, e))?;
    let mut want = Vec::new();
    for digest in question.want() {
        want.extend(manifest.index(digest));
    }
    let question = Question {
        want,
        tell: question.tell(),
        hold_ms: question.hold().as_millis() as u64,
        model: Arc::clone(&manifest.model),
        version: manifest.version,
    };
    ask(&agent.client, addr, &question).await
}

/// Takes an answer in; returns whether it brought a chunk.
async fn take(
    agent: &Agent,
    manifest: &VersionManifest,
    puller: &mut Puller,
    source: &Source,
    answer: Result<PeerAnswer, Error>,
) -> Result<bool, Error> {
    let answer = answer?;
    puller.learn(source, answer.held.into_iter());
    let Some((place, bytes)) = answer.chunk else {
        puller.waited(source, agent.facts.now());
        return Ok(false);
    };
    let nothing = || Error::new(Code::Internal, "no such chunk");
    let digest = *manifest.digests.get(place as usize).ok_or_else(nothing)?;
    if Digest::sha256(&bytes) != digest {
        let why = format!("not the bytes of {digest}");
        return Err(Error::new(Code::CorruptChunk, why));
    }
    keep(agent, manifest, digest, bytes).await?;
    puller.got(source, &digest);
    Ok(true)
}

/// Keeps a verified chunk for peers and stages it at the engine.
async fn keep(
    agent: &Agent,
    manifest: &VersionManifest,
    digest: Digest,
    bytes: Bytes,
) -> Result<(), Error> {
    agent.holdings.keep(digest, Held::Bytes(bytes.clone()));
    for (i, named) in manifest.digests.iter().enumerate() {
        if *named != digest {
            continue;
        }
        // What cannot be staged now is staged before the load.
        let staged =
            agent.engine.write(&manifest.model, i as u32, bytes.clone());
        let _ = staged.await;
    }
    Ok(())
}

pub(crate) fn log_failure(agent: &Agent, source: &str, error: &Error) {
    agent.facts.log().write(&Decision::SourceFailed {
        source,
        code: error.code().number(),
        reason: error.message(),
    });
}
