use std::net::SocketAddr;
use std::time::Duration;

use super::{CatchUp, CatchUpEnd, CatchUpPeers, CatchUpStep};
use crate::Time;

const NUMBER: u64 = 7;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000).after(Duration::from_millis(ms))
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn peers(near: &[u8], far: &[u8]) -> CatchUpPeers {
    CatchUpPeers {
        near: near.iter().copied().map(peer).collect(),
        far: far.iter().copied().map(peer).collect(),
        complete: true,
    }
}

fn asked(numbers: &[u8]) -> CatchUpStep {
    CatchUpStep::Ask(numbers.iter().copied().map(peer).collect())
}

const fn ended(end: CatchUpEnd) -> CatchUpStep {
    CatchUpStep::End(end)
}

#[test]
fn one_informed_peer_is_enough() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[1, 2], &[3]);
    assert_eq!(catch_up.step(&known, true, at(0)), asked(&[1, 2]));
    assert_eq!(catch_up.step(&known, true, at(10)), asked(&[]));
    assert!(catch_up.record_answer(peer(1), NUMBER, false));
    assert_eq!(catch_up.step(&known, true, at(20)), asked(&[]));
    assert!(catch_up.record_answer(peer(2), NUMBER, true));
    let end = ended(CatchUpEnd::Informed);
    assert_eq!(catch_up.step(&known, true, at(20)), end);
}

/// Guards against two entries of one hall that start together, ask only each
/// other and so miss what other halls know.
#[test]
fn other_halls_are_asked_if_the_own_one_knows_nothing() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[1], &[3]);
    assert_eq!(catch_up.step(&known, true, at(0)), asked(&[1]));
    catch_up.record_answer(peer(1), NUMBER, false);
    assert_eq!(catch_up.step(&known, true, at(200)), asked(&[3]));
    catch_up.record_answer(peer(3), NUMBER, true);
    let end = ended(CatchUpEnd::Informed);
    assert_eq!(catch_up.step(&known, true, at(210)), end);
}

#[test]
fn all_that_start_at_once_go_on_as_soon_as_they_have_heard_of_one_another() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[1], &[3]);
    catch_up.step(&known, false, at(0));
    catch_up.record_answer(peer(1), NUMBER, false);
    assert_eq!(catch_up.step(&known, false, at(1)), asked(&[3]));
    catch_up.record_answer(peer(3), NUMBER, false);
    let end = ended(CatchUpEnd::NoneKnows);
    assert_eq!(catch_up.step(&known, false, at(50)), end);
}

#[test]
fn silent_peers_are_asked_again_and_waited_for_within_the_bound() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[1], &[]);
    assert_eq!(catch_up.step(&known, false, at(0)), asked(&[1]));
    assert_eq!(catch_up.step(&known, false, at(100)), asked(&[1]));
    // Without routes it could not serve anyway.
    assert_eq!(catch_up.step(&known, false, at(3_000)), asked(&[1]));
    assert_eq!(catch_up.step(&known, true, at(3_000)), asked(&[]));
    assert_eq!(catch_up.step(&known, true, at(3_499)), asked(&[1]));
    let end = ended(CatchUpEnd::TimedOut);
    assert_eq!(catch_up.step(&known, true, at(3_500)), end);
}

#[test]
fn an_entry_without_peers_goes_on() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[], &[]);
    assert_eq!(catch_up.step(&known, true, at(0)), asked(&[]));
    let end = ended(CatchUpEnd::Alone);
    assert_eq!(catch_up.step(&known, true, at(50)), end);
    // Nobody has told of peers yet.
    let unknown = CatchUpPeers::default();
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    assert_eq!(catch_up.step(&unknown, true, at(0)), asked(&[]));
    assert_eq!(catch_up.step(&unknown, true, at(499)), asked(&[]));
    let end = ended(CatchUpEnd::TimedOut);
    assert_eq!(catch_up.step(&unknown, true, at(500)), end);
}

/// Guards against answers that were under way before a pause.
#[test]
fn answers_to_earlier_questions_do_not_count() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let known = peers(&[1], &[]);
    catch_up.step(&known, true, at(0));
    assert!(!catch_up.record_answer(peer(1), NUMBER - 1, true));
    assert!(!catch_up.record_answer(peer(2), NUMBER, true));
    assert_eq!(catch_up.step(&known, true, at(10)), asked(&[]));
}

/// Guards against an entry that takes itself for alone in the moment between
/// the list of replicas and the first word of their agents.
#[test]
fn an_entry_is_alone_once_nobody_is_left_to_tell_of_peers() {
    let mut catch_up = CatchUp::new(NUMBER, at(0));
    let complete = peers(&[], &[]);
    let unknown = CatchUpPeers::default();
    assert_eq!(catch_up.step(&unknown, false, at(0)), asked(&[]));
    assert_eq!(catch_up.step(&complete, true, at(200)), asked(&[]));
    assert_eq!(catch_up.step(&unknown, true, at(210)), asked(&[]));
    assert_eq!(catch_up.step(&complete, true, at(300)), asked(&[]));
    let end = ended(CatchUpEnd::Alone);
    assert_eq!(catch_up.step(&complete, true, at(350)), end);
}
