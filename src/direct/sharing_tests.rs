//! Tests of how the entries of a hall share published data.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{
    HallEntry, PublishedReplicas, ReaderChoice, Replica, ReplicaState,
};
use crate::Time;

pub(super) fn replica(number: u32, slots: u32) -> Replica {
    Replica {
        incarnation: Arc::from(format!("i-{number}")),
        service: Arc::from("pool"),
        addr: SocketAddr::from(([127, 0, 0, 1], 7000)),
        hall: Arc::from("north"),
        slots,
        state: ReplicaState::Ready,
        listed_at: 0,
        born: None,
        cold_ms: 0,
        versions: Vec::new(),
    }
}

fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7700))
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn no_changes_before_the_first_read() {
    assert_eq!(PublishedReplicas::default().changes_since(None), None);
}

#[test]
fn changes_contain_each_changed_replica_once() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(1, 8), replica(2, 8)], 10);
    published.set(replica(1, 4), 11);
    published.set(replica(1, 2), 12);
    published.remove(Arc::from("i-2"), 12);
    published.advance_to(12);
    let changes = published.changes_since(Some(10)).unwrap();
    assert!(!changes.whole);
    assert_eq!(changes.revision, 12);
    assert_eq!(changes.listed, [replica(1, 2)]);
    assert_eq!(changes.gone, [Arc::from("i-2")]);
    assert!(published.changed_after(11));
    assert!(!published.changed_after(12));
    let nothing = published.changes_since(Some(12)).unwrap();
    assert!(nothing.listed.is_empty() && nothing.gone.is_empty());
}

#[test]
fn revision_before_the_first_list_gets_the_whole_list() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(1, 8)], 10);
    let changes = published.changes_since(Some(9)).unwrap();
    assert!(changes.whole);
    assert_eq!(changes.listed, [replica(1, 8)]);
    assert!(published.changed_after(9));
}

#[test]
fn replacing_the_list_reports_removed_replicas() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(1, 8), replica(2, 8)], 10);
    published.replace(vec![replica(2, 8)], 20);
    let changes = published.changes_since(Some(10)).unwrap();
    assert!(!changes.whole && changes.listed.is_empty());
    assert_eq!(changes.gone, [Arc::from("i-1")]);
}

#[test]
fn dropped_removals_require_the_whole_list() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(0, 8)], 1);
    for number in 1..=1_100 {
        published.set(replica(number, 8), u64::from(number) + 1);
        let incarnation = Arc::from(format!("i-{number}"));
        published.remove(incarnation, u64::from(number) + 1);
    }
    published.advance_to(1_101);
    assert!(published.changes_since(Some(2)).unwrap().whole);
    let recent = published.changes_since(Some(1_000)).unwrap();
    assert!(!recent.whole);
    assert_eq!(recent.gone.len(), 101);
}

proptest! {
    /// A client that applies the changes whenever it asks ends up with the
    /// same list as its reader.
    #[test]
    fn changes_reproduce_the_list(
        steps in prop::collection::vec(
            (0u32..6, 0u32..4, any::<bool>()), 1..60
        ),
    ) {
        let mut published = PublishedReplicas::default();
        published.replace(vec![replica(0, 1)], 1);
        let mut revision = 1;
        let mut known: BTreeMap<Arc<str>, Replica> = BTreeMap::new();
        let mut after = None;
        for (number, slots, asks) in steps {
            revision += 1;
            if slots == 0 {
                published.remove(Arc::from(format!("i-{number}")), revision);
            } else {
                published.set(replica(number, slots), revision);
            }
            published.advance_to(revision);
            if !asks {
                continue;
            }
            let changes = published.changes_since(after).unwrap();
            if changes.whole {
                known.clear();
            }
            for replica in changes.listed {
                known.insert(Arc::clone(&replica.incarnation), replica);
            }
            for incarnation in changes.gone {
                known.remove(&incarnation);
            }
            after = Some(changes.revision);
            let all = published.changes_since(None).unwrap().listed;
            let received: Vec<Replica> = known.values().cloned().collect();
            prop_assert_eq!(received, all);
        }
    }
}

fn near(number: u8) -> HallEntry {
    HallEntry { addr: entry(number), hall: Arc::from("north") }
}

fn far(number: u8, hall: &str) -> HallEntry {
    HallEntry { addr: entry(number), hall: Arc::from(hall) }
}

#[test]
fn first_ranked_entry_reads_and_others_ask_it() {
    let entries = [near(3), near(1), near(2)];
    let choice = |own| ReaderChoice::new(near(own)).choose(&entries, at(0));
    assert_eq!(choice(1), None);
    assert_eq!(choice(2), Some(entry(1)));
    assert_eq!(choice(3), Some(entry(1)));
}

#[test]
fn first_ranked_entry_of_a_hall_asks_that_of_another() {
    let entries =
        [near(11), near(12), far(21, "south"), far(22, "south"), far(1, "w")];
    let choice =
        |own: HallEntry| ReaderChoice::new(own).choose(&entries, at(0));
    assert_eq!(choice(far(1, "w")), None);
    assert_eq!(choice(near(11)), Some(entry(1)));
    assert_eq!(choice(near(12)), Some(entry(11)), "first of its own hall");
    assert_eq!(choice(far(21, "south")), Some(entry(1)));
    // Without a connection to the first hall it asks the next one before it
    // reads the platform.
    let mut south = ReaderChoice::new(far(21, "south"));
    south.record_failure(entry(1), at(0));
    assert_eq!(south.choose(&entries, at(0)), Some(entry(11)));
    south.record_failure(entry(11), at(0));
    assert_eq!(south.choose(&entries, at(0)), None);
}

#[test]
fn entry_without_peers_reads_the_platform() {
    let choice = ReaderChoice::new(near(2));
    assert_eq!(choice.choose(&[], at(0)), None);
    assert_eq!(choice.choose(&[near(2)], at(0)), None);
}

#[test]
fn unresponsive_readers_are_skipped() {
    let entries = [near(1), near(2), near(3), near(4)];
    let mut choice = ReaderChoice::new(near(4));
    assert!(choice.record_failure(entry(1), at(0)));
    assert_eq!(choice.choose(&entries, at(0)), Some(entry(2)));
    choice.record_failure(entry(2), at(0));
    // If it did not ask the third, all entries of the hall would read the
    // platform.
    assert_eq!(choice.choose(&entries, at(0)), Some(entry(3)));
    choice.record_failure(entry(3), at(0));
    assert_eq!(choice.choose(&entries, at(0)), None);
    // They are retried with increasing backoff.
    assert_eq!(choice.choose(&entries, at(2_000)), Some(entry(1)));
    assert!(!choice.record_failure(entry(1), at(2_000)));
    assert_eq!(choice.choose(&entries, at(4_000)), Some(entry(2)));
    assert_eq!(choice.choose(&entries, at(6_000)), Some(entry(1)));
    let failed = choice.record_success(entry(1), at(6_000));
    assert_eq!(failed, Some(Duration::from_secs(6)));
    assert!(choice.record_failure(entry(1), at(6_000)));
    assert_eq!(choice.choose(&entries, at(8_000)), Some(entry(1)));
}

#[test]
fn next_in_rank_is_chosen_while_another_is_asked() {
    let entries = [near(1), near(2), near(3), far(21, "south")];
    let mut choice = ReaderChoice::new(near(3));
    let asked = [entry(1)];
    let next = |choice: &ReaderChoice, asked: &[SocketAddr]| {
        choice.choose_next(&entries, asked, at(0))
    };
    assert_eq!(next(&choice, &asked), Some(entry(2)));
    assert_eq!(next(&choice, &[entry(1), entry(2)]), None);
    // Two entries with stale data are enough, whichever others are asked.
    choice.record_stale(entry(1), at(0));
    assert_eq!(next(&choice, &[]), Some(entry(2)));
    choice.record_stale(entry(2), at(0));
    assert_eq!(next(&choice, &[]), None);
}

#[test]
fn slower_reader_that_failed_before_is_excluded_longer() {
    let entries = [near(1), near(2), near(3)];
    let mut choice = ReaderChoice::new(near(3));
    choice.record_failure(entry(1), at(0));
    assert!(choice.has_failed(entry(1)) && !choice.has_failed(entry(2)));
    assert_eq!(choice.choose(&entries, at(2_000)), Some(entry(1)));
    choice.extend_backoff(entry(1), at(2_000));
    assert_eq!(choice.choose(&entries, at(3_999)), Some(entry(2)));
    assert_eq!(choice.choose(&entries, at(4_000)), Some(entry(1)));
    choice.record_success(entry(1), at(4_000));
    choice.extend_backoff(entry(1), at(4_000));
    assert_eq!(choice.choose(&entries, at(4_000)), Some(entry(1)));
}

#[test]
fn followers_wait_for_a_reader_with_stale_data() {
    let entries = [1, 2, 3, 4, 5].map(near);
    let mut last = ReaderChoice::new(near(5));
    let mut third = ReaderChoice::new(near(3));
    for choice in [&mut last, &mut third] {
        assert!(choice.record_stale(entry(1), at(0)));
        assert!(choice.record_stale(entry(2), at(0)));
        assert_eq!(choice.choose(&entries, at(0)), None);
    }
    assert_eq!(last.reader_to_await(&entries, 5), Some(entry(1)));
    assert_eq!(third.reader_to_await(&entries, 5), None);
    assert_eq!(third.first_responsive(&entries), Some(entry(1)));
    assert!(third.leads(&entries) && !last.leads(&entries));
    // In a hall with few entries all of them read the platform.
    assert_eq!(last.reader_to_await(&entries, 4), None);
    // The backoff stays short however long the platform is unreachable.
    for round in 1..10 {
        let now = at(round * 2_000);
        assert_eq!(last.choose(&entries, now), Some(entry(1)));
        assert!(!last.record_stale(entry(1), now));
        assert!(!last.record_stale(entry(2), now));
    }
    // An unresponsive entry is not waited for.
    last.record_failure(entry(1), at(20_000));
    assert_eq!(last.reader_to_await(&entries, 5), Some(entry(2)));
    last.record_failure(entry(2), at(20_000));
    assert_eq!(last.reader_to_await(&entries, 5), None);
}

#[test]
fn entry_without_peers_does_not_lead() {
    let choice = ReaderChoice::new(near(5));
    assert!(!choice.leads(&[]));
    assert!(!choice.leads(&[far(1, "south")]));
    assert!(choice.leads(&[near(1), near(5)]));
}

/// Guards against entries that wait for ones that stand still: the first that
/// can read did not read.
#[test]
fn unresponsive_entries_do_not_lead() {
    let entries = [1, 2, 3, 4, 5].map(near);
    let mut fourth = ReaderChoice::new(near(4));
    assert_eq!(fourth.readers_before(&entries), 3);
    fourth.record_stale(entry(1), at(0));
    fourth.record_failure(entry(2), at(0));
    fourth.record_failure(entry(3), at(0));
    assert_eq!(fourth.readers_before(&entries), 1);
    assert!(fourth.leads(&entries));
    assert_eq!(fourth.reader_to_await(&entries, 5), None);
    // The one that leads is asked whatever its rank.
    let mut first = ReaderChoice::new(near(1));
    first.record_failure(entry(2), at(0));
    let others = [entry(3), entry(4), entry(5)];
    assert_eq!(first.responsive(&entries, at(0)), others);
    assert_eq!(first.responsive(&entries, at(2_000)).len(), 4);
    // They lead again once they answer.
    fourth.record_stale(entry(2), at(100));
    fourth.record_success(entry(3), at(100));
    assert!(!fourth.leads(&entries));
}

/// Guards against a hall in which all entries behind the first five replace
/// the ones that are silent.
#[test]
fn entries_behind_the_leading_ones_do_not_lead() {
    let entries = [1, 2, 3, 4, 5].map(near);
    let mut behind = ReaderChoice::new(near(6));
    for number in 1..=3 {
        behind.record_failure(entry(number), at(0));
    }
    assert_eq!(behind.readers_before(&entries), 5);
    assert!(!behind.leads(&entries));
}
