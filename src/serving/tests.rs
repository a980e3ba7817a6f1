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
    let mut lifecycle = Lifecycle::new();
    let v = target(name);
    lifecycle.handle(&Event::Wanted(Some(v.clone())));
    lifecycle.handle(&Event::Fetched(v.clone()));
    lifecycle.handle(&Event::Loaded(v));
    assert_eq!(lifecycle.phase(), Phase::Serving);
    lifecycle
}

#[test]
fn switch_fetches_while_serving_then_drains_and_loads() {
    let mut lifecycle = serving("1");
    let v2 = target("2");
    let actions = lifecycle.handle(&Event::Wanted(Some(v2.clone())));
    assert_eq!(actions, [Action::Fetch(v2.clone())]);
    assert_eq!(lifecycle.serving(), Some(&target("1")));
    lifecycle.handle(&Event::Turn);
    assert_eq!(
        lifecycle.phase(),
        Phase::Serving,
        "the new version has not been fetched yet"
    );
    lifecycle.handle(&Event::Fetched(v2.clone()));
    assert!(lifecycle.awaits_turn());
    lifecycle.handle(&Event::Turn);
    assert_eq!(lifecycle.phase(), Phase::Draining);
    assert_eq!(lifecycle.serving(), None);
    let actions = lifecycle.handle(&Event::Idle);
    assert_eq!(actions, [Action::Load(v2.clone())]);
    lifecycle.handle(&Event::Loaded(v2.clone()));
    assert_eq!(lifecycle.serving(), Some(&v2));
}

#[test]
fn engine_that_lost_its_weights_is_loaded_again() {
    let mut lifecycle = serving("1");
    let actions = lifecycle.handle(&Event::EngineLost);
    assert_eq!(actions, [Action::Load(target("1"))]);
    assert_eq!(lifecycle.serving(), None);
}

#[test]
fn confirmation_of_an_earlier_order_does_not_start_serving() {
    let mut lifecycle = serving("1");
    lifecycle.handle(&Event::Wanted(Some(target("2"))));
    lifecycle.handle(&Event::Fetched(target("2")));
    lifecycle.handle(&Event::Turn);
    lifecycle.handle(&Event::Idle);
    lifecycle.handle(&Event::Wanted(Some(target("3"))));
    assert_eq!(lifecycle.phase(), Phase::Fetching);
    lifecycle.handle(&Event::Loaded(target("2")));
    assert_eq!(lifecycle.serving(), None);
}

#[test]
fn target_that_is_no_longer_wanted_is_not_loaded() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.handle(&Event::Wanted(Some(target("2"))));
    lifecycle.handle(&Event::Wanted(Some(target("3"))));
    assert_eq!(lifecycle.handle(&Event::Fetched(target("2"))), []);
    assert_eq!(lifecycle.phase(), Phase::Fetching);
}

#[test]
fn agent_without_a_target_drains_and_unloads() {
    let mut lifecycle = serving("1");
    let actions = lifecycle.handle(&Event::Wanted(None));
    assert_eq!(actions, [Action::StopFetching]);
    assert_eq!(lifecycle.phase(), Phase::Draining);
    assert_eq!(lifecycle.handle(&Event::Idle), [Action::Unload]);
    assert_eq!(lifecycle.phase(), Phase::Absent);
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
    /// Requests are admitted only for the target of the last load order, and
    /// not after an unload order.
    #[test]
    fn only_the_last_ordered_target_serves(
        events in prop::collection::vec(event(), 0..60)
    ) {
        let mut lifecycle = Lifecycle::new();
        let mut ordered: Option<Target> = None;
        for event in events {
            for action in lifecycle.handle(&event) {
                match action {
                    Action::Load(t) => ordered = Some(t),
                    Action::Unload => ordered = None,
                    Action::Fetch(_) | Action::StopFetching => {}
                }
            }
            if let Some(target) = lifecycle.serving() {
                prop_assert_eq!(Some(target), ordered.as_ref());
            }
        }
    }
}

#[test]
fn fence_of_a_later_agent_is_higher() {
    let old = Fence::new(10).next(9).next(9);
    let new = Fence::new(Fence::next_incarnation(5, old));
    assert!(new > old, "the clock was set back");
    assert!(old.next(9) > old && new > old.next(9));
    assert_eq!(old.next(3).revision(), 9, "the revision decreased");
}

#[test]
fn fence_is_written_as_three_numbers() {
    let fence = Fence::new(7).next(4);
    assert_eq!(fence.to_string(), "7.4.1");
    assert_eq!("7.4.1".parse::<Fence>().unwrap(), fence);
    for malformed in ["", "7", "7.4", "7.4.", "a.b.c", "7.4.1.1", "-1.0.0"] {
        assert!(malformed.parse::<Fence>().is_err(), "{malformed}");
    }
}

#[test]
fn response_matches_only_the_loaded_target_it_comes_from() {
    let fence = Fence::new(7).next(1);
    let bound = LoadedTarget::new(target("1"), fence);
    let table = [
        ("1", "7.1.1", true),
        ("2", "7.1.1", false),
        ("1", "7.1.2", false),
        ("1", "8.1.1", false),
        ("", "", false),
    ];
    for (version, echoed_fence, expected) in table {
        assert_eq!(
            bound.matches(version, echoed_fence),
            expected,
            "{version} {echoed_fence}"
        );
    }
}

#[test]
fn lease_expires() {
    let lease = Lease::new(Time::from_millis(100), Duration::from_millis(50));
    assert!(lease.is_valid(Time::from_millis(150)));
    assert!(!lease.is_valid(Time::from_millis(151)));
}

#[test]
fn pause_is_detected_before_the_next_tick_and_until_caught_up() {
    let at = Time::from_millis;
    let mut detector = PauseDetector::new(at(0));
    for step in 1..20 {
        detector.tick(at(step * 100));
    }
    assert!(!detector.was_paused(at(2_000)));
    // Suspended for five seconds: detected at once, and also after the next
    // ticks.
    assert!(detector.was_paused(at(7_000)));
    detector.tick(at(7_010));
    detector.tick(at(7_110));
    assert!(detector.was_paused(at(7_120)));
    detector.caught_up(at(7_200));
    assert!(!detector.was_paused(at(7_210)));
}
