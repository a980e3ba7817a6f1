//! `stairhinge-model`: explores the core protocol and prints the results.

use argh::FromArgs;
use stairhinge::direct::Repeat;
use stairhinge_model::{
    Outcome, config, explore, gate, once, quarantine, send_once, targets,
};

/// Explores the core protocol exhaustively within bounds, then each mutant
/// that omits one rule, and prints its shortest counterexample.
#[derive(FromArgs)]
struct Args {
    /// clock ticks of the at-most-once specification
    #[argh(option, default = "3")]
    ticks: u64,
    /// attempt limit of the first entry; the second has one less
    #[argh(option, default = "1")]
    attempts: usize,
    /// restarts in the at-most-once specification; configuration has one more
    #[argh(option, default = "1")]
    restarts: u8,
}

fn main() {
    let args: Args = argh::from_env();
    let mut passed = true;
    let bounds = once::Bounds {
        ticks: args.ticks,
        attempts: args.attempts,
        restarts: args.restarts,
    };
    println!("at most once, {bounds:?}");
    let spec = |without| once::Once { without, bounds };
    passed &= holds(&explore(&spec(once::Without::Nothing)));
    for rule in once::Without::RULES {
        passed &= violates(&format!("{rule:?}"), &explore(&spec(rule)));
    }
    let bounds = config::Bounds {
        revisions: 3,
        restarts: args.restarts + 1,
        requests: 2,
    };
    println!("configuration, {bounds:?}");
    let spec = |without| config::Config { without, bounds };
    passed &= holds(&explore(&spec(config::Without::Nothing)));
    for rule in config::Without::RULES {
        passed &= violates(&format!("{rule:?}"), &explore(&spec(rule)));
    }
    let bounds = gate::Bounds { requests: 1, orders: 3 };
    println!("version gate, {bounds:?}");
    for fences in [true, false] {
        let spec = |without| gate::Gate { without, fences, bounds };
        println!("  engine checks fences: {fences}");
        passed &= holds(&explore(&spec(gate::Without::Nothing)));
    }
    for (rule, fences) in gate::CASES {
        let spec = gate::Gate { without: rule, fences, bounds };
        passed &= violates(&format!("{rule:?}"), &explore(&spec));
    }
    println!("direct serving, 3 attempts");
    let spec =
        |without, repeat| send_once::SendOnce { without, repeat, attempts: 3 };
    for repeat in [Repeat::Never, Repeat::Freely] {
        passed &= holds(&explore(&spec(send_once::Without::Nothing, repeat)));
    }
    for (rule, repeat) in send_once::Without::RULES
        .into_iter()
        .zip([Repeat::Never, Repeat::Freely])
    {
        passed &=
            violates(&format!("{rule:?}"), &explore(&spec(rule, repeat)));
    }
    println!("quarantine");
    for (without, spec) in quarantine::CASES {
        let outcome = explore(&spec);
        passed &= match without {
            quarantine::Without::Nothing => holds(&outcome),
            rule => violates(&format!("{rule:?}"), &outcome),
        };
    }
    let bounds =
        targets::Bounds { ticks: 4, versions: 3, disruptions: 2, messages: 1 };
    println!("target versions, {bounds:?}");
    let spec = |without| targets::Targets { without, bounds };
    passed &= holds(&explore(&spec(targets::Without::Nothing)));
    for rule in targets::Without::RULES {
        passed &= violates(&format!("{rule:?}"), &explore(&spec(rule)));
    }
    if !passed {
        std::process::exit(1);
    }
}

fn holds(outcome: &Outcome) -> bool {
    let Some(counterexample) = &outcome.counterexample else {
        println!("  holds in all {} states", outcome.states);
        return true;
    };
    println!("  FAILS: {}", counterexample.property);
    for step in &counterexample.trace {
        println!("    {step}");
    }
    false
}

fn violates(rule: &str, outcome: &Outcome) -> bool {
    let Some(counterexample) = &outcome.counterexample else {
        println!("  without {rule}: NO VIOLATION FOUND, but one is expected");
        return false;
    };
    println!("  without {rule}: {}", counterexample.property);
    for step in &counterexample.trace {
        println!("    {step}");
    }
    true
}
