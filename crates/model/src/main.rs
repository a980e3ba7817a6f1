//! `stairhinge-model`: explores the core protocol and prints what it found.

use argh::FromArgs;
use stairhinge::direct::Repeat;
use stairhinge_model::{
    Outcome, config, explore, gate, once, quarantine, send_once,
};

/// Explores the core protocol exhaustively within bounds, then each mutant
/// that leaves out one rule, with its shortest counterexample.
#[derive(FromArgs)]
struct Args {
    /// ticks of the clock for the at-most-once specification
    #[argh(option, default = "3")]
    ticks: u64,
    /// attempts of the first entry; the second has one less
    #[argh(option, default = "1")]
    attempts: usize,
    /// restarts, in both specifications that have them
    #[argh(option, default = "1")]
    restarts: u8,
}

fn main() {
    let args: Args = argh::from_env();
    let mut good = true;
    let bounds = once::Bounds {
        ticks: args.ticks,
        attempts: args.attempts,
        restarts: args.restarts,
    };
    println!("at most once, {bounds:?}");
    let spec = |without| once::Once { without, bounds };
    good &= holds(&explore(&spec(once::Without::Nothing)));
    for rule in once::Without::RULES {
        good &= bites(&format!("{rule:?}"), &explore(&spec(rule)));
    }
    let bounds = config::Bounds {
        revisions: 3,
        restarts: args.restarts + 1,
        requests: 2,
    };
    println!("configuration, {bounds:?}");
    let spec = |without| config::Config { without, bounds };
    good &= holds(&explore(&spec(config::Without::Nothing)));
    for rule in config::Without::RULES {
        good &= bites(&format!("{rule:?}"), &explore(&spec(rule)));
    }
    let bounds = gate::Bounds { requests: 1, orders: 3 };
    println!("version gate, {bounds:?}");
    for fences in [true, false] {
        let spec = |without| gate::Gate { without, fences, bounds };
        println!("  engine checks fences: {fences}");
        good &= holds(&explore(&spec(gate::Without::Nothing)));
    }
    for (rule, fences) in gate::CASES {
        let spec = gate::Gate { without: rule, fences, bounds };
        good &= bites(&format!("{rule:?}"), &explore(&spec));
    }
    println!("direct serving, 3 attempts");
    let spec =
        |without, repeat| send_once::SendOnce { without, repeat, attempts: 3 };
    for repeat in [Repeat::Never, Repeat::Freely] {
        good &= holds(&explore(&spec(send_once::Without::Nothing, repeat)));
    }
    for (rule, repeat) in send_once::Without::RULES
        .into_iter()
        .zip([Repeat::Never, Repeat::Freely])
    {
        good &= bites(&format!("{rule:?}"), &explore(&spec(rule, repeat)));
    }
    println!("quarantine");
    for (without, spec) in quarantine::CASES {
        let outcome = explore(&spec);
        good &= match without {
            quarantine::Without::Nothing => holds(&outcome),
            rule => bites(&format!("{rule:?}"), &outcome),
        };
    }
    if !good {
        std::process::exit(1);
    }
}

fn holds(outcome: &Outcome) -> bool {
    let Some(finding) = &outcome.finding else {
        println!("  holds in all {} states", outcome.states);
        return true;
    };
    println!("  FAILS: {}", finding.property);
    for step in &finding.trace {
        println!("    {step}");
    }
    false
}

fn bites(rule: &str, outcome: &Outcome) -> bool {
    let Some(finding) = &outcome.finding else {
        println!("  without {rule}: NOTHING FAILS, the check does not bite");
        return false;
    };
    println!("  without {rule}: {}", finding.property);
    for step in &finding.trace {
        println!("    {step}");
    }
    true
}
