//! Keeps a process up to date with the platform.

mod contact;
mod heartbeats;
mod overdue;
mod read;
mod start;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::direct::ListReads;
use stairhinge::{Code, Error, Time};

use self::contact::Contact;
use self::overdue::SmallRead;
use super::{
    Change, Collection, Directory, Facts, HallAnswer, Published, ReaderAnswer,
    Record, Share, SharedAnswer, SharedQuestion, SharedRoutes, Sharing,
    Source,
};
use crate::Shutdown;
use crate::decisions::Decision;

/// Settings for following one collection.
#[derive(Clone)]
pub struct Follow {
    /// The collection to follow.
    pub collection: Collection,
    /// How long the platform may hold a watch open.
    pub wait: Duration,
    /// The minimum interval between two calls to the platform, which limits
    /// their number.
    pub pace: Duration,
    /// How long the platform has to answer after a failure until a replica
    /// that is missing from the list has gone.
    pub unlisted_grace: Duration,
    /// The minimum interval between two reads while routes are published in
    /// quick succession.
    pub burst_read_interval: Duration,
    /// How long after its start no other process depends on this one.
    pub settling: Duration,
    /// Whether the whole platform starts for the first time, so that no
    /// process serves callers yet.
    pub first_start: bool,
    /// How reads are shared within the data hall, if they are.
    pub sharing: Option<Sharing>,
}

/// The minimum interval between two questions to the reader of the data hall.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// The minimum interval between two questions while the reader's data is too
/// old. The reader holds such a question for up to an eighth of
/// [`Sharing::bound`].
const PENDING_ASK_INTERVAL: Duration = Duration::from_millis(200);

/// The delay before the first retry of a failed call; it doubles with each
/// further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Follows one collection until the process stops.
pub async fn follow(
    directory: Arc<dyn Directory>,
    facts: Arc<Facts>,
    follow: Follow,
    shutdown: Shutdown,
) {
    let reads = ListReads::new(follow.unlisted_grace, follow.pace);
    let mut follower = Follower {
        directory,
        facts,
        follow,
        at: None,
        synced: None,
        contact: Contact::default(),
        reads,
        in_doubt: false,
        has_unread: false,
        heard_at: None,
        forgotten: false,
        lost_since: None,
        retry_delay: FIRST_RETRY_DELAY,
        burst: false,
        rejoined: false,
        alone: false,
        small: None,
        next_small: Instant::now(),
        first_due: None,
        began: Instant::now(),
    };
    tokio::select! {
        () = shutdown.wait() => {}
        () = follower.run() => {}
    }
}

/// The outcome of asking the other processes of the data hall.
enum HallOutcome {
    /// An answer arrived and was applied.
    Updated,
    /// No answer yet; another process reads the platform for this one.
    Pending,
    /// No answer; this process has to read the platform itself.
    ReadPlatform,
    /// No answer in time: the data of this process is so old that it may not
    /// leave the reading to others any longer.
    Overdue,
}

struct Follower {
    directory: Arc<dyn Directory>,
    facts: Arc<Facts>,
    follow: Follow,
    /// The platform revision up to which all changes are known.
    at: Option<u64>,
    /// The time at which all changes up to `at` were known.
    synced: Option<Time>,
    contact: Contact,
    /// The reads that the known state comes from.
    reads: ListReads,
    /// Whether a replica that is missing was in doubt at the last answer.
    in_doubt: bool,
    /// Whether the last list did not tell of all names, though it ended.
    has_unread: bool,
    /// The revision up to which heartbeats were read beside lists since the
    /// last sync, if they were.
    heard_at: Option<u64>,
    /// Whether the platform has forgotten the changes after `at`.
    forgotten: bool,
    lost_since: Option<Instant>,
    retry_delay: Duration,
    /// Whether routes are being published in quick succession.
    burst: bool,
    /// Whether the current state was read in full after an interruption, with
    /// no answer since from the platform or the data hall.
    rejoined: bool,
    /// Whether the last answer came from the platform itself.
    alone: bool,
    /// The last small read since the last sync.
    small: Option<SmallRead>,
    /// The earliest time of the next small read.
    next_small: Instant,
    /// When the first read was due, unless it is still delayed.
    first_due: Option<Instant>,
    began: Instant,
}

impl Follower {
    async fn run(&mut self) {
        self.delay_first_read().await;
        self.first_due = Some(Instant::now());
        loop {
            let called = Instant::now();
            match self.ask_hall().await {
                HallOutcome::Updated => {
                    self.record_success();
                    self.rest(called, ASK_INTERVAL).await;
                    continue;
                }
                HallOutcome::Pending => {
                    let pace = PENDING_ASK_INTERVAL.min(self.reliance());
                    self.rest(called, pace).await;
                    continue;
                }
                HallOutcome::Overdue if self.leaves_documents() => {
                    match self.read_overdue().await {
                        Ok(()) => self.record_success(),
                        Err(error) => self.record_failure(&error),
                    }
                    self.rest(called, ASK_INTERVAL).await;
                    continue;
                }
                HallOutcome::Overdue | HallOutcome::ReadPlatform => {}
            }
            match self.read().await {
                Ok(()) => self.record_success(),
                Err(error) => {
                    self.record_failure(&error);
                    tokio::time::sleep(self.retry_delay).await;
                    if is_platform_failure(&error)
                        && self.reads.has_just_failed()
                    {
                        // The platform may be well; a call shows it.
                        continue;
                    }
                    self.retry_delay =
                        (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
            self.rest(called, self.pace()).await;
        }
    }

    /// Sleeps until `pace` has passed since `called`.
    async fn rest(&self, called: Instant, pace: Duration) {
        let rest = pace.saturating_sub(called.elapsed());
        if !rest.is_zero() {
            tokio::time::sleep(rest).await;
        }
    }

    /// Reads the platform and asks other processes of the data hall at the
    /// same time: a platform that doesn't respond holds up a call for
    /// seconds, and another process may reach it sooner.
    async fn read(&mut self) -> Result<(), Error> {
        let Some(sharing) = self.follow.sharing.clone() else {
            return self.read_platform().await;
        };
        if self.settles_doubt() {
            // Another process would only hand its doubt on again.
            let reading = self.read_platform();
            let read = tokio::time::timeout(sharing.small_read(), reading);
            let late = || Error::new(Code::PlatformLost, "no answer in time");
            return read.await.map_err(|_| late()).flatten();
        }
        let newer = self.ask_for_newer(&sharing);
        let (answer, called) = tokio::select! {
            read = self.read_platform() => {
                self.alone = read.is_ok();
                return read;
            }
            newer = newer => newer,
        };
        self.alone = false;
        self.take(answer, called, &sharing).await
    }

    fn question(&self, sharing: &Sharing) -> SharedQuestion {
        SharedQuestion {
            collection: self.follow.collection,
            after: self.at,
            revision: self.facts.revision(),
            targets: self.facts.target_ages().len(),
            newest: Some(self.facts.newest_targets()),
            evacuated: self.evacuated(),
            wait_ms: sharing.wait().as_millis() as u64,
            most_age_ms: sharing.most_age().as_millis() as u64,
            for_itself: false,
        }
    }

    fn evacuated(&self) -> Vec<Arc<str>> {
        let view = self.facts.view();
        view.evacuations.all().map(|(hall, _)| Arc::clone(hall)).collect()
    }

    /// Asks the reader of the data hall for changes.
    async fn ask_hall(&mut self) -> HallOutcome {
        let Some(sharing) = self.follow.sharing.clone() else {
            return HallOutcome::ReadPlatform;
        };
        if self.alone && self.leaves_documents() {
            // The readers are asked again during the read.
            return HallOutcome::ReadPlatform;
        }
        if self.settles_doubt() {
            return HallOutcome::ReadPlatform;
        }
        let called = self.facts.now();
        let asked = sharing.reader.ask(self.question(&sharing));
        let asked = tokio::time::timeout(self.reliance(), asked);
        let Ok(answer) = asked.await else { return HallOutcome::Overdue };
        let answer = match answer {
            HallAnswer::Answered(answer) => answer,
            HallAnswer::Pending => return HallOutcome::Pending,
            HallAnswer::ReadPlatform => return HallOutcome::ReadPlatform,
        };
        match self.take(answer, called, &sharing).await {
            Ok(()) => {
                self.alone = false;
                HallOutcome::Updated
            }
            Err(error) => {
                self.facts.refuse(&error);
                HallOutcome::ReadPlatform
            }
        }
    }

    /// Whether an own read should show now whether a replica that is missing
    /// has gone, since another process's reads have failed.
    fn settles_doubt(&self) -> bool {
        self.follow.collection == Collection::Replicas
            && self.reads.is_settled_by_answer(self.facts.now())
    }

    /// Applies the answer of another process, fetching its routes first.
    async fn take(
        &mut self,
        answer: ReaderAnswer,
        called: Time,
        sharing: &Sharing,
    ) -> Result<(), Error> {
        self.take_routes(&answer, called, sharing).await?;
        self.take_shared(answer.shared, called, &sharing.share)
    }

    /// Applies everything in an answer except its routes.
    fn take_shared(
        &mut self,
        answer: SharedAnswer,
        called: Time,
        share: &Share,
    ) -> Result<(), Error> {
        self.facts.learn_targets(&answer.targets);
        if let Some(evacuations) = &answer.evacuations {
            self.facts.replace_evacuations(evacuations, "hall");
        }
        let synced = answer.synced(called);
        self.reads.record_relayed(answer.reads(called));
        self.note_doubt();
        if let Some(replicas) = answer.replicas {
            let absence = self.reads.absence();
            share.note_relayed(&replicas, answer.at);
            if replicas.whole {
                self.has_unread = false;
                self.facts.replace_replicas(replicas.listed, absence);
            } else {
                let listed = replicas.listed.into_iter();
                let set = listed.map(|r| Change::Set(Record::Replica(r)));
                let gone = replicas.gone.into_iter().map(Change::Gone);
                let changes: Vec<Change> = set.chain(gone).collect();
                let source = Source::new("hall");
                let published = Published::after(self.synced);
                self.facts.apply_all(changes, source, absence, published);
            }
        }
        self.burst = false;
        self.record_sync(answer.at, synced);
        Ok(())
    }

    /// Fetches or patches the routes of an answer, if it has any, and applies
    /// them.
    ///
    /// # Errors
    ///
    /// If they can't be read, or are older than the answer says.
    async fn take_routes(
        &self,
        answer: &ReaderAnswer,
        called: Time,
        sharing: &Sharing,
    ) -> Result<(), Error> {
        let document = match &answer.shared.routes {
            None => return Ok(()),
            Some(SharedRoutes::Fetch) => {
                let within = sharing.fetch();
                sharing.reader.fetch_routes(answer.entry, within).await?
            }
            Some(SharedRoutes::Patch(patch)) => {
                let view = self.facts.view();
                let old = std::str::from_utf8(&view.document);
                let old = old.map_err(|e| {
                    Error::new(
                        Code::OtherDigest,
                        format_args!("held routes document: {e}"),
                    )
                })?;
                Bytes::from(patch.apply(old)?)
            }
        };
        let record = self.directory.parse_routes(document)?;
        let took = self.facts.now().since(called);
        let source = Source::entry("hall", answer.entry, took);
        self.facts.learn(record, source, Published::default());
        let (known, told) = (self.facts.revision(), answer.shared.revision);
        if known < told {
            // Continuing from the reader's position would skip that revision.
            let why =
                format!("got routes of revision {known} instead of {told}");
            return Err(Error::new(Code::PeerLost, why));
        }
        Ok(())
    }

    /// Records that all changes up to revision `at` were known at `synced`.
    fn record_sync(&mut self, at: u64, synced: Time) {
        self.at = Some(at);
        self.synced = self.synced.max(Some(synced));
        self.small = None;
        self.rejoined = false;
        self.forgotten = false;
        self.heard_at = None;
        self.contact.record_sync(synced);
        if self.follow.collection != Collection::Replicas {
            self.facts.note_routes_known(synced);
        }
        if self.has_unread {
            self.facts.note_partial(self.follow.collection);
        } else {
            self.facts.note_whole(self.follow.collection);
        }
        if let Some(sharing) = &self.follow.sharing {
            let collection = self.follow.collection;
            sharing.share.note_reads(collection, self.reads.span());
            sharing.share.reach(collection, at, synced);
        }
    }

    fn pace(&self) -> Duration {
        if self.waits_for_others() && !self.settling().is_zero() {
            return self.follow.settling / 2;
        }
        match &self.follow.sharing {
            Some(sharing) if sharing.share.reads_for_others() => {
                sharing.pace().min(self.follow.pace)
            }
            _ => self.follow.pace,
        }
    }

    /// Whether the whole platform starts for the first time and this process
    /// hasn't found another one yet. If every process read the platform, the
    /// number of calls would grow with the number of processes.
    fn waits_for_others(&self) -> bool {
        let sharing = self.follow.sharing.as_ref();
        self.follow.first_start && sharing.is_some_and(|s| s.reader.is_alone())
    }

    /// Logs whether a replica that is missing from the list is in doubt, if
    /// that has changed.
    fn note_doubt(&mut self) {
        let in_doubt = self.reads.is_in_doubt();
        let before = std::mem::replace(&mut self.in_doubt, in_doubt);
        let Some(span) = self.reads.span() else { return };
        if self.follow.collection != Collection::Replicas || before == in_doubt
        {
            return;
        }
        let now = self.facts.now();
        let failed = span.failed.map(|at| now.since(at).as_millis() as u64);
        self.facts.log().write(&Decision::AbsenceDoubted {
            in_doubt,
            answered_ms: span.until.since(span.since).as_millis() as u64,
            failed_ms: failed,
        });
    }

    fn record_success(&mut self) {
        self.retry_delay = FIRST_RETRY_DELAY;
        if let Some(since) = self.lost_since.take() {
            self.facts.log().write(&Decision::DependencyRegained {
                dependency: self.follow.collection.name(),
                lost_ms: since.elapsed().as_millis() as u64,
            });
        }
        if self.follow.collection == Collection::Replicas
            && let Some(until) = self.reads.settled()
        {
            self.facts.remove_doubtful(until);
        }
    }

    fn record_failure(&mut self, error: &Error) {
        let now = self.facts.now();
        self.facts.note_unread(self.follow.collection, error);
        if is_platform_failure(error) {
            self.facts.note_out_of_reach();
            self.reads.record_failure(now);
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            self.facts.log().write(&Decision::DependencyLost {
                dependency: self.follow.collection.name(),
                code: error.code().number(),
                reason: error.message(),
            });
        }
    }
}

/// Returns whether the platform failed, rather than another process.
fn is_platform_failure(error: &Error) -> bool {
    error.code() != Code::PeerLost
}
