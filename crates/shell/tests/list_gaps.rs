//! Lists of replicas after the platform has forgotten its history.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge::direct::{Replica, ReplicaState};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Collection, Directory, Facts, Follow, Freshness, HallAnswer, HallReader,
    Listing, ReaderAnswer, Record, Share, SharedQuestion, SharedReplicas,
    Sharing, Watched, follow,
};
use stairhinge_shell::{Shutdown, Stopper};
use support::{BEHIND, BOUND, Nobody, fresh};

fn replica() -> Replica {
    Replica {
        incarnation: Arc::from("i-1"),
        service: Arc::from("plain"),
        addr: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        hall: Arc::from("north"),
        slots: 8,
        state: ReplicaState::Ready,
        listed_at: 1,
        born: None,
        cold_ms: 0,
        versions: Vec::new(),
    }
}

/// A platform with one replica, which has gone from revision 20 on, and that
/// knows none of the revisions before its newest one.
struct Forgetful {
    newest: AtomicU64,
}

impl Forgetful {
    fn start() -> Arc<Forgetful> {
        Arc::new(Forgetful { newest: AtomicU64::new(10) })
    }

    fn newest(&self) -> u64 {
        self.newest.load(Ordering::Relaxed)
    }
}

impl Directory for Forgetful {
    fn list(
        &self,
        _collection: Collection,
        _freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>> {
        let at = self.newest();
        let listed = if at < 20 { vec![replica()] } else { Vec::new() };
        let records =
            listed.into_iter().map(|r| Ok(Record::Replica(r))).collect();
        Box::pin(async move { Ok(Listing { records, at }) })
    }

    fn parse_routes(&self, _document: Bytes) -> Result<Record, Error> {
        unreachable!("replicas only")
    }

    fn watch(
        &self,
        _collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>> {
        Box::pin(async move {
            if after == self.newest() {
                tokio::time::sleep(wait.min(BOUND / 10)).await;
                return Ok(Watched::Changes(Vec::new(), after));
            }
            Ok(Watched::Forgotten)
        })
    }
}

/// Follows the replicas, and shares them.
fn start(
    directory: Arc<dyn Directory>,
    reader: Arc<dyn HallReader>,
) -> (Arc<Facts>, Arc<Share>, Stopper) {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Arc::new(Facts::new(log, Duration::ZERO));
    let (stopper, shutdown) = Shutdown::new();
    let share = Arc::new(Share::new(Arc::clone(&facts)));
    let sharing = Sharing {
        share: Arc::clone(&share),
        reader,
        bound: BOUND,
        watch: None,
    };
    let plan = Follow {
        collection: Collection::Replicas,
        wait: Duration::from_secs(4),
        pace: Duration::from_millis(10),
        unlisted_grace: Duration::from_secs(4),
        burst_read_interval: Duration::from_millis(300),
        settling: Duration::ZERO,
        first_start: false,
        sharing: Some(sharing),
    };
    tokio::spawn(follow(directory, Arc::clone(&facts), plan, shutdown));
    (facts, share, stopper)
}

fn question(after: Option<u64>) -> SharedQuestion {
    SharedQuestion {
        collection: Collection::Replicas,
        after,
        revision: 0,
        targets: 0,
        newest: None,
        wait_ms: 10,
        most_age_ms: 60_000,
        evacuated: Vec::new(),
        for_itself: false,
    }
}

/// Waits until the data that a process shares is of a revision.
async fn until_at(share: &Share, at: u64) {
    let reached = async {
        while share.answer(&question(None)).await.is_none_or(|a| a.at < at) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let limit = Duration::from_secs(30);
    tokio::time::timeout(limit, reached).await.expect("revision not reached");
}

async fn replicas_after(share: &Share, after: u64) -> SharedReplicas {
    let answer = share.answer(&question(Some(after))).await.unwrap();
    *answer.replicas.unwrap()
}

/// Another process of the hall.
enum Other {
    /// One that is asked directly.
    Sharing(Arc<Share>),
    /// One that answers those that know nothing with a list of an earlier
    /// revision, and nobody else.
    Outdated,
}

impl HallReader for Other {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async move {
            let share = match self {
                Other::Sharing(share) => share,
                Other::Outdated if question.after.is_some() => {
                    return HallAnswer::ReadPlatform;
                }
                Other::Outdated => return HallAnswer::Answered(outdated()),
            };
            match share.answer(&question).await {
                Some(shared) => HallAnswer::Answered(ReaderAnswer {
                    entry: BEHIND,
                    shared,
                }),
                None => HallAnswer::Pending,
            }
        })
    }

    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Nobody.ask_until_fresh(question)
    }

    fn is_alone(&self) -> bool {
        false
    }

    fn leads(&self) -> bool {
        false
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Nobody.fetch_routes(entry, within)
    }
}

/// Returns a fresh answer with a list from before the platform's first one.
fn outdated() -> ReaderAnswer {
    let mut answer = fresh(5, 0, None);
    let replicas = SharedReplicas {
        whole: true,
        listed: vec![replica()],
        gone: Vec::new(),
        gaps: Vec::new(),
    };
    answer.shared.replicas = Some(Box::new(replicas));
    answer
}

/// Guards against a replica that is used on because it came and went between
/// two lists of the process that was asked, or of the one that it asked.
#[tokio::test]
async fn a_revision_between_two_lists_is_answered_with_a_list() {
    let platform = Forgetful::start();
    let (_, reader, _stop) =
        start(Arc::clone(&platform) as _, Arc::new(Nobody));
    let (_, follower, _stop) = start(
        Arc::clone(&platform) as _,
        Arc::new(Other::Sharing(Arc::clone(&reader))),
    );
    until_at(&reader, 10).await;
    until_at(&follower, 10).await;
    platform.newest.store(20, Ordering::Relaxed);
    until_at(&reader, 20).await;
    until_at(&follower, 20).await;
    for share in [&reader, &follower] {
        assert!(replicas_after(share, 15).await.whole);
        let changes = replicas_after(share, 10).await;
        assert!(!changes.whole);
        assert_eq!(changes.gone, [Arc::from("i-1")]);
    }
}

/// Guards against a process that takes an older list of another one for what
/// the platform has forgotten.
#[tokio::test]
async fn a_forgotten_history_is_read_from_the_platform() {
    let platform = Forgetful::start();
    let (_facts, share, _stop) =
        start(Arc::clone(&platform) as _, Arc::new(Other::Outdated));
    until_at(&share, 10).await;
    platform.newest.store(20, Ordering::Relaxed);
    until_at(&share, 20).await;
    let answer = share.answer(&question(None)).await.unwrap();
    assert!(answer.replicas.unwrap().listed.is_empty());
}
