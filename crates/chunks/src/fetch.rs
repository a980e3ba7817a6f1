//! Fetching the chunks of a version.

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

/// How long to wait for a response before the puller is polled again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often the progress of a fetch is logged.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a fetch runs before the list of peers is refreshed for the first
/// time; the delay doubles each time. Rare refreshes suffice: a peer that left
/// is noticed by failed requests, and a new peer holds no chunks yet.
const FIRST_REFRESH_DELAY: Duration = Duration::from_millis(1_000);

/// The maximum number of missing chunks named in a log line.
const MAX_LOGGED_CHUNKS: usize = 6;

/// The number of corrupt chunks after which the manifest itself is considered
/// bad.
const MAX_CORRUPT_CHUNKS: u32 = 12;

/// The number of chunks fetched from each kind of source.
#[derive(Clone, Copy, Debug, Default)]
struct FetchCounts {
    near: u32,
    far: u32,
    origin: u32,
}

impl FetchCounts {
    fn count(&mut self, source: &Source) {
        match source {
            Source::Near(_) => self.near += 1,
            Source::Far(_) => self.far += 1,
            Source::Origin => self.origin += 1,
        }
    }
}

/// Fetches the missing chunks of a version.
///
/// # Errors
///
/// [`Code::BadManifest`] if so many chunks fail their check that the manifest
/// itself is likely to be wrong.
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
    let mut counts = FetchCounts::default();
    let mut corrupt = 0;
    let mut sources = Sources::of(owner, manifest);
    let mut puller = sources.puller(context, owner, manifest);
    let mut queue = RequestQueue::new();
    let mut in_flight = FuturesUnordered::new();
    let mut last_logged = Instant::now();
    let mut next_refresh = started + FIRST_REFRESH_DELAY;
    while !puller.is_complete() {
        let now = facts.now();
        for request in puller.poll(now) {
            queue.push(request);
        }
        let mut limit = owner.max_requests(sources.count());
        // Where other processes depend on the chunks fetched here, the fetch
        // isn't slowed down.
        if let Some(pace) = owner.pace().filter(|_| sources.may_be_paced()) {
            let missing = puller.missing().count();
            limit = limit.min(missing.saturating_sub(pace.missing_at(now)));
        }
        while let Some(request) = queue.next(in_flight.len(), limit) {
            in_flight.push(send_request(context, owner, manifest, request));
        }
        let timer = tokio::time::sleep(POLL_INTERVAL);
        let finished = tokio::select! {
            Some(finished) = in_flight.next() => Some(finished),
            () = timer => None,
        };
        if let Some((source, response)) = finished {
            let outcome = handle_response(
                context,
                owner,
                manifest,
                &mut puller,
                &source,
                response,
            )
            .await;
            match outcome {
                Ok(true) => {
                    owner.record_progress(&source);
                    counts.count(&source);
                }
                Ok(false) => {}
                Err(error) => {
                    log_failure(facts, source.name(), &error);
                    puller.record_failure(&source, facts.now());
                    if source == Source::Origin {
                        owner.record_origin_failure();
                    }
                    let is_corrupt = error.code() == Code::CorruptChunk;
                    corrupt += u32::from(is_corrupt);
                }
            }
            if corrupt >= MAX_CORRUPT_CHUNKS {
                let why =
                    format!("{corrupt} chunks did not match the manifest");
                return Err(Error::new(Code::BadManifest, why));
            }
        }
        if last_logged.elapsed() > PROGRESS_INTERVAL {
            last_logged = Instant::now();
            log_progress(context, owner, &puller);
        }
        if Instant::now() > next_refresh {
            next_refresh += started.elapsed();
            owner.refresh_peers();
        }
        let current = Sources::of(owner, manifest);
        if current != sources {
            sources = current;
            puller.set_ranking(sources.ranking(context, manifest));
        }
    }
    facts.log().write(&Decision::FetchDone {
        model: &manifest.model,
        version: manifest.version,
        took_ms: started.elapsed().as_millis() as u64,
        near: counts.near,
        far: counts.far,
        origin: counts.origin,
    });
    Ok(())
}

fn log_progress(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    puller: &Puller,
) {
    let (pending, suspects) = puller.pending_and_suspect(context.facts.now());
    let (link_part, uplink_part) = owner.link_shares();
    context.facts.log().write(&Decision::FetchProgress {
        share: puller.held_permille(),
        missing: puller.missing().take(MAX_LOGGED_CHUNKS).collect(),
        link_part,
        uplink_part,
        asked: pending.iter().map(Source::name).collect(),
        suspects: suspects.iter().map(Source::name).collect(),
    });
}
