//! The core protocol keeps its properties, and each mutant violates one.

use stairhinge::direct::Repeat;
use stairhinge_model::{
    Outcome, config, explore, gate, once, quarantine, send_once, targets,
};

const ONCE: once::Bounds = once::Bounds { ticks: 3, attempts: 1, restarts: 1 };

const CONFIG: config::Bounds =
    config::Bounds { revisions: 3, restarts: 2, requests: 2 };

const GATE: gate::Bounds = gate::Bounds { requests: 1, orders: 3 };

const TARGETS: targets::Bounds =
    targets::Bounds { ticks: 5, versions: 3, disruptions: 1, messages: 1 };

fn holds(what: &str, outcome: &Outcome, min_states: usize) {
    println!("{what}: {} states", outcome.states);
    assert_eq!(outcome.counterexample, None, "{what}");
    assert!(outcome.states >= min_states, "{what}: {} states", outcome.states);
}

fn violates(rule: &str, outcome: &Outcome, property: &str) {
    let counterexample = outcome.counterexample.as_ref();
    let counterexample = counterexample
        .unwrap_or_else(|| panic!("no violation found without {rule}"));
    assert_eq!(
        counterexample.property, property,
        "{rule}: {:#?}",
        counterexample.trace
    );
    assert!(!counterexample.trace.is_empty());
}

#[test]
fn at_most_once_holds_and_each_rule_is_needed() {
    let run = |without| explore(&once::Once { without, bounds: ONCE });
    holds("at most once", &run(once::Without::Nothing), 200_000);
    let ran_twice = "a key ran twice within its window";
    let false_did_not_run = "said not to have run, and ran";
    let table = [
        (once::Without::Tombstone, false_did_not_run),
        (once::Without::Incarnation, false_did_not_run),
        (once::Without::Deafness, ran_twice),
        (once::Without::Lease, ran_twice),
        (once::Without::Keeping, ran_twice),
        (once::Without::Claim, ran_twice),
        (once::Without::Settling, ran_twice),
        (once::Without::Settle, false_did_not_run),
    ];
    assert_eq!(table.len(), once::Without::RULES.len());
    for (rule, property) in table {
        violates(&format!("{rule:?}"), &run(rule), property);
    }
}

#[test]
fn configuration_holds_and_each_rule_is_needed() {
    let run = |without| explore(&config::Config { without, bounds: CONFIG });
    holds("configuration", &run(config::Without::Nothing), 50_000);
    let older_revision = "work ran under an older revision again";
    let table = [
        (config::Without::Monotony, "a process went back to an older one"),
        (config::Without::Floor, older_revision),
        (config::Without::Telling, older_revision),
        (config::Without::Equality, "an old configuration took effect"),
    ];
    assert_eq!(table.len(), config::Without::RULES.len());
    for (rule, property) in table {
        violates(&format!("{rule:?}"), &run(rule), property);
    }
}

#[test]
fn the_version_gate_holds_and_each_rule_is_needed() {
    let run = |without, fences| {
        explore(&gate::Gate { without, fences, bounds: GATE })
    };
    for fences in [true, false] {
        let what = format!("gate, engine checks fences: {fences}");
        holds(&what, &run(gate::Without::Nothing, fences), 10_000);
    }
    let properties = [
        "an answer from another version",
        "an engine went back to an older agent",
        "admitted by an agent that does not serve",
        "an order was given with work in progress",
    ];
    for ((rule, fences), property) in gate::CASES.into_iter().zip(properties) {
        violates(&format!("{rule:?}"), &run(rule, fences), property);
    }
}

#[test]
fn direct_serving_sends_once_and_tells_the_truth() {
    let run = |without, repeat| {
        explore(&send_once::SendOnce { without, repeat, attempts: 3 })
    };
    for repeat in [Repeat::Never, Repeat::Freely, Repeat::Resume] {
        let what = format!("direct serving, {repeat:?}");
        holds(&what, &run(send_once::Without::Nothing, repeat), 40);
    }
    let ran_twice = "a request that must not repeat ran twice";
    let false_did_not_run = "said not to have run, and ran";
    let table = [
        (send_once::Without::OwnWord, Repeat::Never, ran_twice),
        (send_once::Without::Memory, Repeat::Freely, false_did_not_run),
    ];
    assert_eq!(table.len(), send_once::Without::RULES.len());
    for (rule, repeat, property) in table {
        violates(&format!("{rule:?}"), &run(rule, repeat), property);
    }
}

#[test]
fn quarantine_holds_and_each_rule_is_needed() {
    let properties = [
        (
            quarantine::Without::Turn,
            "held though replicas ended less than three times",
        ),
        (
            quarantine::Without::Clearing,
            "held though it was answered in between",
        ),
        (
            quarantine::Without::Order,
            "sent on by an entry that knew it quarantined",
        ),
    ];
    assert_eq!(properties.len(), quarantine::Without::RULES.len());
    for (without, spec) in quarantine::CASES {
        let outcome = explore(&spec);
        let rule = properties.iter().find(|(rule, _)| *rule == without);
        match rule {
            None => holds(&format!("quarantine, {spec:?}"), &outcome, 100),
            Some((_, property)) => {
                violates(&format!("{without:?}"), &outcome, property);
            }
        }
    }
}

#[test]
fn target_versions_hold_and_each_rule_is_needed() {
    let run =
        |without| explore(&targets::Targets { without, bounds: TARGETS });
    holds("target versions", &run(targets::Without::Nothing), 10_000);
    let late = "a request starts on an outdated version";
    let unknown = "told when, and not known";
    let table = [
        (targets::Without::Gap, late),
        (targets::Without::Insert, unknown),
        (targets::Without::Presume, late),
    ];
    assert_eq!(table.len(), targets::Without::RULES.len());
    for (rule, property) in table {
        violates(&format!("{rule:?}"), &run(rule), property);
    }
}
