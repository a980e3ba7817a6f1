//! Replays of recorded failure runs through the decision code.
//!
//! A trace has the event lines of the agents of one run, in the format that
//! `stairhinge timeline` reads. For each guard the test feeds a `KeyTable`
//! with the recorded claims and settlements and checks that it decides as the
//! guard did. In the runs, guards were killed or an entry was suspended; a key
//! granted to two holders within its window would mean that a request may have
//! run twice.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::event::{Event, Filter, merge};
use stairhinge::request::{ClaimDecision, Key, KeyTable};
use stairhinge::{Ran, Time};

/// The outcome of a trace: the number of claims by answer, of restarted
/// guards, and of keys granted to two holders within the window.
#[derive(Debug, Default)]
struct Outcome {
    answers: BTreeMap<String, usize>,
    restarts: usize,
    granted_twice: usize,
}

/// A guard process of the trace.
struct Guard {
    incarnation: u64,
    start: Time,
    keys: KeyTable,
}

/// Returns the events of a trace in causal order.
fn read(name: &str) -> Vec<Event> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let text = std::fs::read_to_string(root.join(name)).unwrap();
    let events = text.lines().map(|l| Event::parse(l).unwrap());
    merge(events.collect(), &Filter::default())
}

/// Feeds the events to the key tables of their guards, and panics if a claim
/// is decided otherwise than recorded.
fn replay(events: &[Event]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut guards: BTreeMap<Arc<str>, Guard> = BTreeMap::new();
    let mut granted: BTreeMap<String, (String, u64)> = BTreeMap::new();
    let start = events.iter().map(|e| e.wall).min().unwrap();
    let mut window = 0;
    for event in events {
        let now = Time::from_millis(event.wall - start);
        let name = Arc::clone(&event.instance);
        let known = guards.get(&name).map(|g| g.incarnation);
        if known != Some(event.incarnation) {
            outcome.restarts += usize::from(known.is_some());
            let keys = KeyTable::new(now, Duration::ZERO, 1_000);
            let incarnation = event.incarnation;
            let guard = Guard { incarnation, start: now, keys };
            guards.insert(Arc::clone(&name), guard);
        }
        let Some(guard) = guards.get_mut(&name) else { continue };
        let (key, holder) = (event.field("key"), event.field("holder"));
        match event.event.as_str() {
            "guard.window" => {
                window = event.field("window_ms").parse().unwrap();
                let duration = Duration::from_millis(window);
                guard.keys.set_window(guard.start, duration);
            }
            "request.claim" => {
                let claim = guard.keys.claim(&Key::received(key), holder, now);
                let answer = match &claim {
                    ClaimDecision::Granted => "granted",
                    ClaimDecision::Refused(err, _) => err.code().name(),
                };
                assert_eq!(answer, event.field("word"), "{event:?}");
                *outcome.answers.entry(answer.into()).or_default() += 1;
                if answer != "granted" {
                    continue;
                }
                let before =
                    granted.insert(key.into(), (holder.into(), event.wall));
                let twice = before.is_some_and(|(other, at)| {
                    other != holder && event.wall - at < window
                });
                outcome.granted_twice += usize::from(twice);
            }
            "request.settle" => {
                let ran = Ran::parse(event.field("ran")).unwrap();
                guard.keys.settle(&Key::received(key), holder, ran);
                if ran == Ran::DidNotRun {
                    granted.remove(key);
                }
            }
            _ => {}
        }
    }
    outcome
}

#[test]
fn replayed_claims_are_decided_as_recorded() {
    // trace, least number of grants, code of an expected refusal, restarts
    let table = [
        ("guards-killed.jsonl", 10, "GuardForgetful", 2),
        ("entry-frozen.jsonl", 10, "DuplicateRan", 0),
    ];
    for (name, min_granted, refusal, restarts) in table {
        let events = read(name);
        let outcome = replay(&events);
        println!("{name}: {} events, {outcome:?}", events.len());
        let count = |answer: &str| {
            outcome.answers.get(answer).copied().unwrap_or_default()
        };
        assert!(count("granted") >= min_granted, "{name}: {outcome:?}");
        assert!(count(refusal) > 0, "{name}: {outcome:?}");
        assert_eq!(outcome.restarts, restarts, "{name}");
        assert_eq!(outcome.granted_twice, 0, "{name}");
    }
}
