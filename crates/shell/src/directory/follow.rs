//! Keeping up with what is published.

mod read;
mod start;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::{Code, Error, Time};

use super::{
    Change, Collection, Directory, Facts, HallNews, ReaderAnswer, Record,
    Share, SharedAnswer, SharedQuestion, SharedRoutes, Sharing, Source,
};
use crate::Shutdown;
use crate::decisions::Decision;

/// How a process follows one collection.
#[derive(Clone)]
pub struct Follow {
    /// What it follows.
    pub collection: Collection,
    /// How long a watch waits at the platform.
    pub wait: Duration,
    /// The least span between two calls, which bounds their number.
    pub pace: Duration,
    /// How long after a failure absences from the list are not believed.
    pub doubt: Duration,
    /// The least span between two readings while routes are published in
    /// quick succession.
    pub burst_pace: Duration,
    /// How long after its start nobody counts on the process.
    pub settling: Duration,
    /// Whether the whole platform starts for the first time: nobody serves
    /// callers yet.
    pub first_start: bool,
    /// Who else of the hall reads, if that is shared.
    pub sharing: Option<Sharing>,
}

/// The least span between two questions to the reader of the hall.
const SHARED_PACE: Duration = Duration::from_millis(20);

/// The least span between two questions while the reader has only old news.
/// Those wait at it for up to an eighth of the bound that they serve.
const AWAITED_PACE: Duration = Duration::from_millis(200);

/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows one collection until the process stops.
pub async fn follow(
    directory: Arc<dyn Directory>,
    facts: Arc<Facts>,
    follow: Follow,
    shutdown: Shutdown,
) {
    let mut follower = Follower {
        directory,
        facts,
        follow,
        at: None,
        synced: None,
        answered: None,
        failed: None,
        lost_since: None,
        pause: FIRST_PAUSE,
        burst: false,
        rejoined: false,
        began: Instant::now(),
    };
    tokio::select! {
        () = shutdown.wait() => {}
        () = follower.run() => {}
    }
}

/// What asking the hall brought.
enum Asked {
    /// What is published, which is taken in.
    Told,
    /// Nothing yet, and the platform is left to others.
    Awaited,
    /// Nothing: the platform is to be read.
    Nobody,
}

struct Follower {
    directory: Arc<dyn Directory>,
    facts: Arc<Facts>,
    follow: Follow,
    /// The platform's revision up to which changes are known.
    at: Option<u64>,
    /// When all changes up to `at` were known.
    synced: Option<Time>,
    /// When a watch of the platform was last answered: it brings all that
    /// there is, also after a long wait.
    answered: Option<Time>,
    failed: Option<Instant>,
    lost_since: Option<Instant>,
    pause: Duration,
    /// Whether routes come in quick succession.
    burst: bool,
    /// Whether all that is in force was read after a time out of touch, and
    /// nothing was heard since, from the platform or the hall.
    rejoined: bool,
    began: Instant,
}

impl Follower {
    async fn run(&mut self) {
        self.hold_back().await;
        loop {
            let called = Instant::now();
            match self.ask_hall().await {
                Asked::Told => {
                    self.succeeded();
                    self.rest(called, SHARED_PACE).await;
                    continue;
                }
                Asked::Awaited => {
                    self.rest(called, AWAITED_PACE).await;
                    continue;
                }
                Asked::Nobody => {}
            }
            match self.read().await {
                Ok(()) => self.succeeded(),
                Err(error) => {
                    self.fail(&error);
                    tokio::time::sleep(self.pause).await;
                    self.pause = (self.pause * 2).min(LONGEST_PAUSE);
                }
            }
            self.rest(called, self.pace()).await;
        }
    }

    /// Waits until a span has passed since a call.
    async fn rest(&self, called: Instant, pace: Duration) {
        let rest = pace.saturating_sub(called.elapsed());
        if !rest.is_zero() {
            tokio::time::sleep(rest).await;
        }
    }

    /// Reads the platform, and asks others of the hall for news beside it: a
    /// platform that is silent holds a call up for seconds, and
    /// another process may reach it sooner.
    async fn read(&mut self) -> Result<(), Error> {
        let Some(sharing) = self.follow.sharing.clone() else {
            return self.step().await;
        };
        let called = self.facts.now();
        let news = sharing.reader.news(self.question(&sharing));
        let answer = tokio::select! {
            read = self.step() => return read,
            answer = news => answer,
        };
        self.take(answer, called, &sharing).await
    }

    fn question(&self, sharing: &Sharing) -> SharedQuestion {
        SharedQuestion {
            collection: self.follow.collection,
            after: self.at,
            revision: self.facts.revision(),
            targets: self.facts.target_ages().len(),
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

    /// Asks the reader of the hall for what is published.
    async fn ask_hall(&mut self) -> Asked {
        let Some(sharing) = self.follow.sharing.clone() else {
            return Asked::Nobody;
        };
        let called = self.facts.now();
        let question = self.question(&sharing);
        let answer = match sharing.reader.ask(question).await {
            HallNews::Told(answer) => answer,
            HallNews::Awaited => return Asked::Awaited,
            HallNews::Nobody => return Asked::Nobody,
        };
        match self.take(answer, called, &sharing).await {
            Ok(()) => Asked::Told,
            Err(error) => {
                self.facts.refuse(&error);
                Asked::Nobody
            }
        }
    }

    /// Takes in what another process answered, and the routes that it leads
    /// to.
    async fn take(
        &mut self,
        answer: ReaderAnswer,
        called: Time,
        sharing: &Sharing,
    ) -> Result<(), Error> {
        self.take_routes(&answer, called, sharing).await?;
        self.take_shared(answer.shared, called, &sharing.share)
    }

    /// Takes in what the reader of the hall answered.
    fn take_shared(
        &mut self,
        answer: SharedAnswer,
        called: Time,
        share: &Share,
    ) -> Result<(), Error> {
        let collection = self.follow.collection;
        self.facts.learn_targets(&answer.targets);
        if let Some(evacuations) = &answer.evacuations {
            self.facts.replace_evacuations(evacuations, "hall");
        }
        if let Some(failed_ms) = answer.failed_ms {
            let ago = Duration::from_millis(failed_ms);
            self.failed = self.failed.max(Instant::now().checked_sub(ago));
            share.fail(collection, before(called, failed_ms));
        }
        if let Some(replicas) = answer.replicas {
            let reliable = self.reliable();
            if replicas.whole {
                share.note_list(&replicas.listed, answer.at);
                self.facts.replace_replicas(replicas.listed, reliable);
            } else {
                let listed = replicas.listed.into_iter();
                let set = listed.map(|r| Change::Set(Record::Replica(r)));
                let gone = replicas.gone.into_iter().map(Change::Gone);
                let changes: Vec<Change> = set.chain(gone).collect();
                share.note(&changes, answer.at);
                let source = Source::new("hall");
                for change in changes {
                    self.facts.apply(change, source, reliable, self.synced);
                }
            }
        }
        self.burst = false;
        self.reach(answer.at, before(called, answer.age_ms));
        Ok(())
    }

    /// Takes in the routes that an answer leads to, if there are any.
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
                    Error::new(Code::OtherDigest, format_args!("routes: {e}"))
                })?;
                Bytes::from(patch.apply(old)?)
            }
        };
        let record = self.directory.parse_routes(document)?;
        let took = self.facts.now().since(called);
        let source = Source::entry("hall", answer.entry, took);
        self.facts.learn(record, source, None);
        let (known, told) = (self.facts.revision(), answer.shared.revision);
        if known < told {
            // Going on from where the reader is would skip that revision.
            let why = format!("routes of revision {known}, not {told}");
            return Err(Error::new(Code::PeerLost, why));
        }
        Ok(())
    }

    /// Notes that all changes up to a revision are known since a time.
    fn reach(&mut self, at: u64, synced: Time) {
        self.at = Some(at);
        self.synced = Some(synced);
        self.rejoined = false;
        if self.follow.collection != Collection::Replicas {
            self.facts.note_routes_known(synced);
        }
        if let Some(sharing) = &self.follow.sharing {
            sharing.share.reach(self.follow.collection, at, synced);
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
    /// knows of no other yet. If each process read by itself, the calls would
    /// grow with their number.
    fn waits_for_others(&self) -> bool {
        let sharing = self.follow.sharing.as_ref();
        self.follow.first_start && sharing.is_some_and(|s| s.reader.is_alone())
    }

    /// Whether the platform has been well long enough for absences to count.
    fn reliable(&self) -> bool {
        self.failed.is_none_or(|at| at.elapsed() > self.follow.doubt)
    }

    fn succeeded(&mut self) {
        self.pause = FIRST_PAUSE;
        if let Some(since) = self.lost_since.take() {
            self.facts.log().write(&Decision::DependencyRegained {
                dependency: self.follow.collection.name(),
                lost_ms: since.elapsed().as_millis() as u64,
            });
        }
        if self.failed.is_some() && self.reliable() {
            self.failed = None;
            if self.follow.collection == Collection::Replicas {
                self.facts.settle_doubts();
            }
        }
    }

    fn fail(&mut self, error: &Error) {
        self.failed = Some(Instant::now());
        if let Some(sharing) = &self.follow.sharing {
            let now = self.facts.now();
            sharing.share.fail(self.follow.collection, now);
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

/// Returns the time so many milliseconds before another.
fn before(time: Time, ms: u64) -> Time {
    Time::from_millis(time.as_millis().saturating_sub(ms))
}
