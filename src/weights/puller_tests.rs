//! Whom a puller asks for what.

use std::sync::Arc;
use std::time::Duration;

use super::tests::{chunks, halls, walk};
use super::{
    ChunkRequest, FetchTimeouts, LinkShare, ManifestSource, Puller, Source,
};
use crate::Time;

/// A puller of one hall of five, which has asked its four peers once and has
/// been answered with nothing.
fn greeted_puller(count: usize) -> (Puller, Vec<Source>) {
    let all = halls(1, 5);
    let walk = walk(&all, 0, 0);
    let mut puller =
        Puller::new(walk, &chunks(count), FetchTimeouts::new(), 0, |_| false);
    let mut peers = Vec::new();
    for ask in puller.poll(Time::ZERO) {
        peers.push(ask.source().clone());
    }
    assert_eq!(peers.len(), 4);
    for peer in &peers {
        puller.record_not_yet(peer, Time::ZERO);
    }
    (puller, peers)
}

#[test]
fn an_idle_source_gives_what_it_holds_though_another_is_in_charge() {
    let (mut puller, peers) = greeted_puller(40);
    let now = Time::from_millis(10);
    let asks = puller.poll(now);
    let charge = |asks: &[ChunkRequest], peer: &Source| {
        let ask = asks.iter().find(|a| a.source() == peer).unwrap();
        ask.want().to_vec()
    };
    // One peer is in charge of chunks that it is slow to send, and another
    // one has got hold of them.
    let slow = &peers[0];
    let wanted = charge(&asks, slow);
    let holder = &peers[1];
    let held: Vec<bool> =
        puller.chunks().iter().map(|c| wanted.contains(&c.digest())).collect();
    puller.record_holdings(holder, held.into_iter());
    for peer in &peers[1..] {
        for digest in charge(&asks, peer) {
            puller.record_chunk(peer, &digest);
        }
    }
    let soon = puller.poll(Time::from_millis(20));
    assert!(soon.iter().all(|a| a.want() != wanted), "too early");
    let later = puller.poll(Time::from_millis(2_000));
    let stolen = later.iter().find(|a| a.source() == holder).unwrap();
    assert!(stolen.want().iter().all(|d| wanted.contains(d)));
}

#[test]
fn a_source_far_slower_than_the_others_is_left() {
    let (mut puller, peers) = greeted_puller(60);
    let slow = peers[0].clone();
    for step in 1..20u64 {
        let now = Time::from_millis(step * 150);
        for ask in puller.poll(now) {
            if *ask.source() != slow {
                puller.record_chunk(ask.source(), &ask.want()[0]);
            }
        }
    }
    let now = Time::from_millis(4_000);
    puller.poll(now);
    let (_, suspects) = puller.pending_and_suspect(now);
    assert!(suspects.contains(&slow), "{suspects:?}");
}

#[test]
fn the_origin_is_asked_again_soon_however_often_it_failed() {
    let all = halls(1, 1);
    let mut puller = Puller::new(
        walk(&all, 0, 0),
        &chunks(1),
        FetchTimeouts::new(),
        0,
        |_| false,
    );
    let mut now = Time::ZERO;
    for _ in 0..10 {
        assert_eq!(puller.poll(now).len(), 1);
        puller.record_failure(&Source::Origin, now);
        now = now.after(FetchTimeouts::new().max_origin_suspicion());
    }
    assert!(
        FetchTimeouts::new().max_origin_suspicion() <= Duration::from_secs(4)
    );
}

#[test]
fn a_silent_peer_does_not_hold_up_what_comes_from_outside() {
    let all = halls(2, 3);
    let mut puller = Puller::new(
        walk(&all, 0, 0),
        &chunks(24),
        FetchTimeouts::new(),
        0,
        |_| false,
    );
    let far = |asks: &[ChunkRequest]| {
        asks.iter().any(|a| !matches!(a.source(), Source::Near(_)))
    };
    let asks = puller.poll(Time::ZERO);
    assert!(!far(&asks), "peers of the hall come first");
    // None of them answers.
    let asks = puller.poll(Time::from_millis(500));
    assert!(far(&asks), "{asks:?}");
}

#[test]
fn other_members_change_nothing_of_what_is_out_or_known() {
    let (mut puller, peers) = greeted_puller(40);
    let now = Time::from_millis(10);
    let before = puller.poll(now).len();
    assert_eq!(before, 5, "four peers and the origin");
    let all = halls(1, 6);
    puller.set_ranking(walk(&all, 0, 0));
    let asks = puller.poll(now);
    assert!(asks.iter().all(|a| !peers.contains(a.source())), "{asks:?}");
}

#[test]
fn only_the_first_in_rank_ask_the_origin_for_a_manifest() {
    let count = 76;
    let at = |waited: u64| {
        let waited = Duration::from_millis(waited);
        let asks = (0..count)
            .map(|place| ManifestSource::next(place, count, 0, waited));
        asks.filter(|s| *s == ManifestSource::Origin).count()
    };
    assert_eq!(at(0), ManifestSource::ORIGIN_FETCHERS);
    assert_eq!(at(1_000), ManifestSource::ORIGIN_FETCHERS);
    // Should all of these be out of reach, others follow a few at a time.
    assert_eq!(at(3_000), 11);
    for place in 0..count {
        for round in 0..10 {
            let source =
                ManifestSource::next(place, count, round, Duration::ZERO);
            assert_ne!(source, ManifestSource::Agent(place));
        }
    }
    let alone = ManifestSource::next(0, 1, 1, Duration::ZERO);
    assert_eq!(alone, ManifestSource::Origin);
}

#[test]
fn late_probes_leave_a_link_most_of_its_sending() {
    let mut share = LinkShare::new();
    for _ in 0..20 {
        share.record_delay(LinkShare::TARGET_DELAY * 3);
    }
    assert_eq!(share.upload(), LinkShare::MIN_UNCONGESTED_UPLOAD);
    assert!(!share.is_poor());
    // A link that carries far less than it is said to is another matter.
    for _ in 0..5 {
        share.record_delay(LinkShare::CONGESTED_DELAY * 2);
    }
    assert!(share.upload() < 0.05 && share.is_poor());
    // It does not get its share back at once.
    share.record_delay(LinkShare::TARGET_DELAY * 2);
    assert!(share.upload() < 0.05);
}

#[test]
fn the_origin_is_asked_for_one_chunk_after_the_other() {
    let all = halls(3, 8);
    let pace = Duration::from_millis(20);
    let patience = FetchTimeouts::new().with_origin_interval(pace);
    let list = chunks(96);
    let mut asked = vec![None; list.len()];
    for (h, (_, names)) in all.iter().enumerate() {
        for n in 0..names.len() {
            let mut puller =
                Puller::new(walk(&all, h, n), &list, patience, 0, |_| false);
            for ms in (0..4_000).step_by(10) {
                let now = Time::from_millis(ms);
                for ask in puller.poll(now) {
                    if *ask.source() != Source::Origin {
                        puller.record_not_yet(ask.source(), now);
                        continue;
                    }
                    let digest = ask.want()[0];
                    let i = list.iter().position(|c| c.digest() == digest);
                    asked[i.unwrap()] = Some(ms);
                    puller.record_chunk(ask.source(), &digest);
                }
            }
        }
    }
    for (i, at) in asked.iter().enumerate() {
        let at = at.expect("each chunk is drawn");
        let due = 20 * i as u64;
        // Peers of the hall are heard first.
        assert!(at >= due && at <= due + 450, "{i} at {at}");
    }
}

#[test]
fn another_hall_is_not_asked_for_what_the_hall_still_sends() {
    let all = halls(2, 4);
    let list = chunks(96);
    let patience =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600));
    let mut puller =
        Puller::new(walk(&all, 0, 0), &list, patience, 0, |_| false);
    let far = Source::Far(Arc::clone(&all[1].1[0]));
    puller.record_holdings(&far, std::iter::repeat_n(true, list.len()));
    let mut asked = 0;
    let mut late = 0;
    for ms in (0..6_000).step_by(100) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            let near = matches!(ask.source(), Source::Near(_));
            let gives = near && ms < 3_000 && !ask.is_first_contact();
            let other = *ask.source() == far && ask.hold().is_zero();
            asked +=
                usize::from(other && ms < 3_000 && !ask.is_first_contact());
            late += usize::from(other && ms > 4_000);
            if gives && ms % 400 == 0 {
                puller.record_chunk(ask.source(), &ask.want()[0]);
            } else {
                puller.record_not_yet(ask.source(), now);
            }
        }
    }
    assert_eq!(asked, 0, "while the hall sends");
    assert!(late > 0, "once nothing comes from the hall");
}
