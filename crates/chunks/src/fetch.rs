//! FetchContext the chunks of a version.

use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::weights::{Puller, RequestQueue, Source};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::Decision;

use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext, log_failure};
use crate::sources::Sources;
use crate::transfer::{handle_response, send_request};

/// How long to wait before looking again when nobody can be asked.
const PAUSE: Duration = Duration::from_millis(50);

/// How often it is logged how a fetch stands.
const PROGRESS: Duration = Duration::from_millis(1_000);

/// How long a fetch lasts until the list of peers is read again; each next
/// time it takes twice as long. Who leaves is noticed by failures, and who
/// comes has nothing to give yet.
const RELIST: Duration = Duration::from_millis(1_000);

/// The most missing chunks that are named in the log.
const MOST_LOGGED: usize = 6;

/// Spoilt chunks after which the manifest itself is doubted.
const DOUBT_MANIFEST: u32 = 12;

/// How chunks came here.
#[derive(Clone, Copy, Debug, Default)]
struct Drawn {
    near: u32,
    far: u32,
    origin: u32,
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

/// Draws what is missing of a version.
///
/// # Errors
///
/// [`Code::BadManifest`] if chunks keep failing, so that the manifest itself
/// is in doubt.
pub async fn fetch(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
) -> Result<(), Error> {
    let started = Instant::now();
    let facts = &context.facts;
    let holdings = &context.holdings;
    let held = holdings.count(manifest);
    facts.log().write(&Decision::FetchBegun {
        model: &manifest.model,
        version: manifest.version,
        held,
        chunks: manifest.digests.len(),
    });
    let mut drawn = Drawn::default();
    let mut spoilt = 0;
    let mut known = Sources::of(owner, manifest);
    let mut puller = known.puller(context, owner, manifest);
    let mut ready = RequestQueue::new();
    let mut asked = FuturesUnordered::new();
    let mut logged = Instant::now();
    let mut listed_next = started + RELIST;
    while !puller.is_complete() {
        let now = facts.now();
        for question in puller.poll(now) {
            ready.push(question);
        }
        let mut most = owner.max_requests(known.count());
        // Without a cache others wait for what is drawn here.
        if let Some(pace) = owner.pace().filter(|_| known.has_cache()) {
            let missing = puller.missing().count();
            most = most.min(missing.saturating_sub(pace.missing_at(now)));
        }
        while let Some(question) = ready.next(asked.len(), most) {
            asked.push(send_request(context, owner, manifest, question));
        }
        let timer = tokio::time::sleep(PAUSE);
        let done = tokio::select! {
            Some(done) = asked.next() => Some(done),
            () = timer => None,
        };
        if let Some((source, answer)) = done {
            let taken = handle_response(
                context,
                owner,
                manifest,
                &mut puller,
                &source,
                answer,
            )
            .await;
            match taken {
                Ok(true) => {
                    owner.record_progress(&source);
                    drawn.count(&source);
                }
                Ok(false) => {}
                Err(error) => {
                    log_failure(facts, source.name(), &error);
                    puller.record_failure(&source, facts.now());
                    if source == Source::Origin {
                        owner.record_origin_failure();
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
            log_progress(context, owner, &puller);
        }
        if Instant::now() > listed_next {
            listed_next += started.elapsed();
            owner.refresh_peers();
        }
        let now = Sources::of(owner, manifest);
        if now != known {
            known = now;
            puller.set_ranking(known.walk(context, manifest));
        }
    }
    facts.log().write(&Decision::FetchDone {
        model: &manifest.model,
        version: manifest.version,
        took_ms: started.elapsed().as_millis() as u64,
        near: drawn.near,
        far: drawn.far,
        origin: drawn.origin,
    });
    Ok(())
}

fn log_progress(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    puller: &Puller,
) {
    let (asked, suspects) = puller.pending_and_suspect(context.facts.now());
    let (link_part, uplink_part) = owner.link_shares();
    context.facts.log().write(&Decision::FetchProgress {
        share: puller.held_permille(),
        missing: puller.missing().take(MOST_LOGGED).collect(),
        link_part,
        uplink_part,
        asked: asked.iter().map(Source::name).collect(),
        suspects: suspects.iter().map(Source::name).collect(),
    });
}
