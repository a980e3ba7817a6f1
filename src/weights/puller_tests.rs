//! Tests of which chunks a puller requests from which source.

use std::sync::Arc;
use std::time::Duration;

use super::tests::{chunks, halls, rank_sources};
use super::{
    ChunkRequest, FetchTimeouts, LinkShare, ManifestSource, Puller, Source,
};
use crate::Time;

/// Returns a puller in a hall of five whose four peers have answered its first
/// requests, holding no chunks.
fn puller_after_first_contact(count: usize) -> (Puller, Vec<Source>) {
    let all = halls(1, 5);
    let ranking = rank_sources(&all, 0, 0);
    let mut puller =
        Puller::new(ranking, &chunks(count), FetchTimeouts::new(), 0, |_| {
            false
        });
    let mut peers = Vec::new();
    for request in puller.poll(Time::ZERO) {
        peers.push(request.source().clone());
    }
    assert_eq!(peers.len(), 4);
    for peer in &peers {
        puller.record_not_yet(peer, Time::ZERO);
    }
    (puller, peers)
}

#[test]
fn an_idle_holder_is_asked_for_overdue_chunks_of_another_source() {
    let (mut puller, peers) = puller_after_first_contact(40);
    let now = Time::from_millis(10);
    let requests = puller.poll(now);
    let wanted_from = |requests: &[ChunkRequest], peer: &Source| {
        let request = requests.iter().find(|a| a.source() == peer).unwrap();
        request.want().to_vec()
    };
    // One peer is slow to send the chunks that it is responsible for, and
    // another peer already holds them.
    let slow = &peers[0];
    let wanted = wanted_from(&requests, slow);
    let holder = &peers[1];
    let held: Vec<bool> =
        puller.chunks().iter().map(|c| wanted.contains(&c.digest())).collect();
    puller.record_holdings(holder, held.into_iter());
    for peer in &peers[1..] {
        for digest in wanted_from(&requests, peer) {
            puller.record_chunk(peer, &digest);
        }
    }
    let soon = puller.poll(Time::from_millis(20));
    assert!(soon.iter().all(|a| a.want() != wanted), "requested too early");
    let later = puller.poll(Time::from_millis(2_000));
    let reassigned = later.iter().find(|a| a.source() == holder).unwrap();
    assert!(reassigned.want().iter().all(|d| wanted.contains(d)));
}

#[test]
fn a_source_far_slower_than_the_others_becomes_suspect() {
    let (mut puller, peers) = puller_after_first_contact(60);
    let slow = peers[0].clone();
    for step in 1..20u64 {
        let now = Time::from_millis(step * 150);
        for request in puller.poll(now) {
            if *request.source() != slow {
                puller.record_chunk(request.source(), &request.want()[0]);
            }
        }
    }
    let now = Time::from_millis(4_000);
    puller.poll(now);
    let (_, suspects) = puller.pending_and_suspect(now);
    assert!(suspects.contains(&slow), "{suspects:?}");
}

#[test]
fn the_origin_is_retried_soon_after_repeated_failures() {
    let all = halls(1, 1);
    let mut puller = Puller::new(
        rank_sources(&all, 0, 0),
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
fn silent_peers_do_not_delay_sources_outside_the_hall() {
    let all = halls(2, 3);
    let mut puller = Puller::new(
        rank_sources(&all, 0, 0),
        &chunks(24),
        FetchTimeouts::new(),
        0,
        |_| false,
    );
    let far = |requests: &[ChunkRequest]| {
        requests.iter().any(|a| !matches!(a.source(), Source::Near(_)))
    };
    let requests = puller.poll(Time::ZERO);
    assert!(!far(&requests), "peers of the hall come first");
    // None of them answers.
    let requests = puller.poll(Time::from_millis(500));
    assert!(far(&requests), "{requests:?}");
}

#[test]
fn a_new_ranking_keeps_pending_requests_and_source_states() {
    let (mut puller, peers) = puller_after_first_contact(40);
    let now = Time::from_millis(10);
    let before = puller.poll(now).len();
    assert_eq!(before, 5, "four peers and the origin");
    let all = halls(1, 6);
    puller.set_ranking(rank_sources(&all, 0, 0));
    let requests = puller.poll(now);
    assert!(
        requests.iter().all(|a| !peers.contains(a.source())),
        "{requests:?}"
    );
}

#[test]
fn only_the_first_ranks_ask_the_origin_for_a_manifest() {
    let count = 76;
    let at = |waited: u64| {
        let waited = Duration::from_millis(waited);
        let requests = (0..count)
            .map(|place| ManifestSource::next(place, count, 0, waited));
        requests.filter(|s| *s == ManifestSource::Origin).count()
    };
    assert_eq!(at(0), ManifestSource::ORIGIN_FETCHERS);
    assert_eq!(at(1_000), ManifestSource::ORIGIN_FETCHERS);
    // If the first agents are unreachable, others follow a few at a time.
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
fn moderate_probe_delays_keep_most_of_the_upload_share() {
    let mut share = LinkShare::new();
    for _ in 0..20 {
        share.record_delay(LinkShare::TARGET_DELAY * 3);
    }
    assert_eq!(share.upload(), LinkShare::MIN_UNCONGESTED_UPLOAD);
    assert!(!share.is_poor());
    // The link carries far less than its nominal rate.
    for _ in 0..5 {
        share.record_delay(LinkShare::CONGESTED_DELAY * 2);
    }
    assert!(share.upload() < 0.05 && share.is_poor());
    // The share recovers only gradually.
    share.record_delay(LinkShare::TARGET_DELAY * 2);
    assert!(share.upload() < 0.05);
}

#[test]
fn the_origin_is_asked_for_chunks_one_after_the_other() {
    let all = halls(3, 8);
    let pace = Duration::from_millis(20);
    let timeouts = FetchTimeouts::new().with_origin_interval(pace);
    let list = chunks(96);
    let mut asked = vec![None; list.len()];
    for (h, (_, names)) in all.iter().enumerate() {
        for n in 0..names.len() {
            let mut puller = Puller::new(
                rank_sources(&all, h, n),
                &list,
                timeouts,
                0,
                |_| false,
            );
            for ms in (0..4_000).step_by(10) {
                let now = Time::from_millis(ms);
                for request in puller.poll(now) {
                    if *request.source() != Source::Origin {
                        puller.record_not_yet(request.source(), now);
                        continue;
                    }
                    let digest = request.want()[0];
                    let i = list.iter().position(|c| c.digest() == digest);
                    asked[i.unwrap()] = Some(ms);
                    puller.record_chunk(request.source(), &digest);
                }
            }
        }
    }
    for (i, at) in asked.iter().enumerate() {
        let at = at.expect("each chunk is fetched");
        let due = 20 * i as u64;
        // The hall's peers are asked for their holdings first.
        assert!(at >= due && at <= due + 450, "{i} at {at}");
    }
}

#[test]
fn other_halls_are_not_asked_while_the_own_hall_sends_chunks() {
    let all = halls(2, 4);
    let list = chunks(96);
    let timeouts =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600));
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &list, timeouts, 0, |_| false);
    let far = Source::Far(Arc::clone(&all[1].1[0]));
    puller.record_holdings(&far, std::iter::repeat_n(true, list.len()));
    let mut asked = 0;
    let mut late = 0;
    for ms in (0..6_000).step_by(100) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            let near = matches!(request.source(), Source::Near(_));
            let gives = near && ms < 3_000 && !request.is_first_contact();
            let other = *request.source() == far && request.hold().is_zero();
            asked += usize::from(
                other && ms < 3_000 && !request.is_first_contact(),
            );
            late += usize::from(other && ms > 4_000);
            if gives && ms % 400 == 0 {
                puller.record_chunk(request.source(), &request.want()[0]);
            } else {
                puller.record_not_yet(request.source(), now);
            }
        }
    }
    assert_eq!(asked, 0, "while the hall sends");
    assert!(late > 0, "once nothing comes from the hall");
}
