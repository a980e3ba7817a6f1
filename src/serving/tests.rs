use std::time::Duration;

use proptest::prelude::*;

use super::{
    Action, Event, Fence, Lease, Lifecycle, LoadedTarget, PauseDetector,
    Phase, Target,
};
use crate::{Digest, Time};

fn target(name: &str) -> Target {
    Target::new("m", name, vec![Digest::of(name.as_bytes())])
}

fn serving(name: &str) -> Lifecycle {
    let mut life = Lifecycle::new();
    let v = target(name);
    life.handle(&Event::Wanted(Some(v.clone())));
    life.handle(&Event::Fetched(v.clone()));
    life.handle(&Event::Loaded(v));
    assert_eq!(life.phase(), Phase::Serving);
    life
}

#[test]
fn a_switch_fetches_beside_drains_then_loads() {
    let mut life = serving("1");
    let v2 = target("2");
    let actions = life.handle(&Event::Wanted(Some(v2.clone())));
    assert_eq!(actions, [Action::Fetch(v2.clone())]);
    assert_eq!(life.serving(), Some(&target("1")));
    life.handle(&Event::Turn);
    assert_eq!(life.phase(), Phase::Serving, "nothing to switch to yet");
    life.handle(&Event::Fetched(v2.clone()));
    assert!(life.awaits_turn());
    life.handle(&Event::Turn);
    assert_eq!(life.phase(), Phase::Draining);
    assert_eq!(life.serving(), None);
    let actions = life.handle(&Event::Idle);
    assert_eq!(actions, [Action::Load(v2.clone())]);
    life.handle(&Event::Loaded(v2.clone()));
    assert_eq!(life.serving(), Some(&v2));
}

#[test]
fn an_engine_that_lost_its_weights_is_loaded_again() {
    let mut life = serving("1");
    let actions = life.handle(&Event::EngineLost);
    assert_eq!(actions, [Action::Load(target("1"))]);
    assert_eq!(life.serving(), None);
}

#[test]
fn an_answer_to_an_earlier_order_does_not_open_the_gate() {
    let mut life = serving("1");
    life.handle(&Event::Wanted(Some(target("2"))));
    life.handle(&Event::Fetched(target("2")));
    life.handle(&Event::Turn);
    life.handle(&Event::Idle);
    life.handle(&Event::Wanted(Some(target("3"))));
    assert_eq!(life.phase(), Phase::Fetching);
    life.handle(&Event::Loaded(target("2")));
    assert_eq!(life.serving(), None);
}

#[test]
fn what_is_no_longer_wanted_is_not_loaded() {
    let mut life = Lifecycle::new();
    life.handle(&Event::Wanted(Some(target("2"))));
    life.handle(&Event::Wanted(Some(target("3"))));
    assert_eq!(life.handle(&Event::Fetched(target("2"))), []);
    assert_eq!(life.phase(), Phase::Fetching);
}

#[test]
fn nothing_wanted_drains_and_unloads() {
    let mut life = serving("1");
    let actions = life.handle(&Event::Wanted(None));
    assert_eq!(actions, [Action::StopFetching]);
    assert_eq!(life.phase(), Phase::Draining);
    assert_eq!(life.handle(&Event::Idle), [Action::Unload]);
    assert_eq!(life.phase(), Phase::Absent);
}

fn event() -> impl Strategy<Value = Event> {
    let v = (0u8..3).prop_map(|i| target(&i.to_string()));
    prop_oneof![
        prop::option::of(v.clone()).prop_map(Event::Wanted),
        v.clone().prop_map(Event::Fetched),
        v.prop_map(Event::Loaded),
        Just(Event::LoadFailed),
        Just(Event::Idle),
        Just(Event::EngineLost),
        Just(Event::Turn),
    ]
}

proptest! {
    /// What is admitted was loaded last, and only after it was fetched and
    /// ordered since anything else was ordered.
    #[test]
    fn only_what_was_ordered_and_confirmed_serves(
        events in prop::collection::vec(event(), 0..60)
    ) {
        let mut life = Lifecycle::new();
        let mut ordered: Option<Target> = None;
        for event in events {
            for action in life.handle(&event) {
                match action {
                    Action::Load(t) => ordered = Some(t),
                    Action::Unload => ordered = None,
                    Action::Fetch(_) | Action::StopFetching => {}
                }
            }
            if let Some(target) = life.serving() {
                prop_assert_eq!(Some(target), ordered.as_ref());
            }
        }
    }
}

#[test]
fn a_later_agent_outranks_an_earlier_one() {
    let old = Fence::new(10).next(9).next(9);
    let new = Fence::new(Fence::next_incarnation(5, old));
    assert!(new > old, "even with its clock set back");
    assert!(old.next(9) > old && new > old.next(9));
    assert_eq!(old.next(3).revision(), 9, "a revision never falls");
}

#[test]
fn a_fence_is_three_numbers() {
    let fence = Fence::new(7).next(4);
    assert_eq!(fence.to_string(), "7.4.1");
    assert_eq!("7.4.1".parse::<Fence>().unwrap(), fence);
    for bad in ["", "7", "7.4", "7.4.", "a.b.c", "7.4.1.1", "-1.0.0"] {
        assert!(bad.parse::<Fence>().is_err(), "{bad}");
    }
}

#[test]
fn an_answer_fits_only_what_it_was_bound_to() {
    let fence = Fence::new(7).next(1);
    let bound = LoadedTarget::new(target("1"), fence);
    let table = [
        ("1", "7.1.1", true),
        ("2", "7.1.1", false),
        ("1", "7.1.2", false),
        ("1", "8.1.1", false),
        ("", "", false),
    ];
    for (version, under, fits) in table {
        assert_eq!(bound.matches(version, under), fits, "{version} {under}");
    }
}

#[test]
fn a_lease_ends() {
    let lease = Lease::new(Time::from_millis(100), Duration::from_millis(50));
    assert!(lease.is_valid(Time::from_millis(150)));
    assert!(!lease.is_valid(Time::from_millis(151)));
}

#[test]
fn a_pause_shows_before_the_next_beat_and_until_it_is_made_up_for() {
    let at = Time::from_millis;
    let mut guard = PauseDetector::new(at(0));
    for step in 1..20 {
        guard.tick(at(step * 100));
    }
    assert!(!guard.was_paused(at(2_000)));
    // Stopped for five seconds: seen at once, also after the next beat.
    assert!(guard.was_paused(at(7_000)));
    guard.tick(at(7_010));
    guard.tick(at(7_110));
    assert!(guard.was_paused(at(7_120)));
    guard.caught_up(at(7_200));
    assert!(!guard.was_paused(at(7_210)));
}
