//! Recorded time lines of failure runs, replayed through the decision code.
//!
//! A trace is the event lines of a run's agents, as `stairhinge timeline`
//! reads them. Each guard's `KeyTable` is driven with what its process met, and
//! must decide as that process did; the outcome of the whole is stated here.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::event::{Event, Filter, merge};
use stairhinge::request::{ClaimDecision, Key, KeyTable};
use stairhinge::{Ran, Time};

/// What came out of a trace: claims by the word that answered them, and
/// whether any key was granted to two holders in its window.
#[derive(Debug, Default)]
struct Outcome {
    words: BTreeMap<String, usize>,
    restarts: usize,
    doubled: usize,
}

struct Guard {
    incarnation: u64,
    start: Time,
    keys: KeyTable,
}

fn read(name: &str) -> Vec<Event> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let text = std::fs::read_to_string(root.join(name)).unwrap();
    let events = text.lines().map(|l| Event::parse(l).unwrap());
    merge(events.collect(), &Filter::default())
}

fn replay(events: &[Event]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut guards: BTreeMap<Arc<str>, Guard> = BTreeMap::new();
    let mut granted: BTreeMap<String, (String, u64)> = BTreeMap::new();
    let from = events.iter().map(|e| e.wall).min().unwrap();
    let mut window = 0;
    for event in events {
        let now = Time::from_millis(event.wall - from);
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
                let span = Duration::from_millis(window);
                guard.keys.set_window(guard.start, span);
            }
            "request.claim" => {
                let claim = guard.keys.claim(&Key::received(key), holder, now);
                let word = match &claim {
                    ClaimDecision::Granted => "granted",
                    ClaimDecision::Refused(err, _) => err.code().name(),
                };
                assert_eq!(word, event.field("word"), "{event:?}");
                *outcome.words.entry(word.into()).or_default() += 1;
                if word != "granted" {
                    continue;
                }
                let before =
                    granted.insert(key.into(), (holder.into(), event.wall));
                let twice = before.is_some_and(|(other, at)| {
                    other != holder && event.wall - at < window
                });
                outcome.doubled += usize::from(twice);
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
fn recorded_claims_are_decided_as_they_were() {
    // trace, least granted, the refusals that must be there, restarts
    let table = [
        ("guards-killed.jsonl", 10, "GuardForgetful", 2),
        ("entry-frozen.jsonl", 10, "DuplicateRan", 0),
    ];
    for (name, granted, refusal, restarts) in table {
        let events = read(name);
        let outcome = replay(&events);
        println!("{name}: {} events, {outcome:?}", events.len());
        let count =
            |word: &str| outcome.words.get(word).copied().unwrap_or_default();
        assert!(count("granted") >= granted, "{name}: {outcome:?}");
        assert!(count(refusal) > 0, "{name}: {outcome:?}");
        assert_eq!(outcome.restarts, restarts, "{name}");
        assert_eq!(outcome.doubled, 0, "{name}");
    }
}
