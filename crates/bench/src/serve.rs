//! Serving under load: latency, goodput, refusals, fairness.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde_json::json;
use stairhinge_local::{Answer, Caller, Plan, Trial};
use stairhinge_shell::http::Client;
use stairhinge_standins::EngineSettings;

use crate::report::processor;

/// send requests at a rate, whatever becomes of them, and measure
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Args {
    /// model replicas
    #[argh(option, default = "6")]
    replicas: usize,
    /// data halls
    #[argh(option, default = "3")]
    halls: usize,
    /// load in parts of the engines' capacity
    #[argh(option, default = "1.0")]
    load: f64,
    /// seconds
    #[argh(option, default = "6.0")]
    seconds: f64,
    /// tokens of each answer
    #[argh(option, default = "32")]
    tokens: u32,
    /// none or kill: a third of the agents die after a third of the time
    #[argh(option, default = "\"none\".into()")]
    fault: String,
    /// print a JSON object as the last line
    #[argh(switch)]
    json: bool,
}

const STEP: Duration = Duration::from_millis(9);
const BATCH: usize = 8;

/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(3);

/// Two large workspaces and a small one, by their part of the requests.
const PARTS: [(&str, f64); 3] = [("counter", 0.5), ("web", 0.45), ("", 0.05)];

pub async fn run(args: &Args) -> eyre::Result<()> {
    let plan = Plan {
        halls: args.halls,
        replicas: args.replicas,
        engine: EngineSettings {
            step: STEP,
            batch: BATCH,
            queue: 4,
            fences: true,
        },
        // An entry's share of the engines' places, and as many waiting.
        entry: format!(
            "running: {}\nqueued: 64\nusual_ms: {}\n",
            (BATCH * args.replicas).div_ceil(args.halls),
            (STEP * args.tokens).as_millis(),
        ),
        ..Plan::default()
    };
    let mut trial = Trial::start(plan).await?;
    let span = STEP.as_secs_f64() * f64::from(args.tokens);
    let capacity = (BATCH * args.replicas) as f64 / span;
    let rate = capacity * args.load;
    let cpu = processor();
    let start = Instant::now();
    let calls = load(args, &mut trial, rate).await?;
    let wall = start.elapsed().as_secs_f64();
    let cpu = (processor() - cpu).as_secs_f64();
    let mut first = Histogram::<u64>::new(3)?;
    let mut gaps = Histogram::<u64>::new(3)?;
    let mut codes: BTreeMap<u16, u64> = BTreeMap::new();
    let mut served: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let (mut good, mut refusal) = (0u64, Histogram::<u64>::new(3)?);
    for (caller, answer) in &calls {
        let name = caller.workspace.clone().unwrap_or("small".into());
        let count = served.entry(name).or_default();
        count.1 += 1;
        if !answer.good() {
            *codes.entry(answer.code).or_default() += 1;
            refusal.record(micros(answer.last))?;
            continue;
        }
        count.0 += 1;
        good += 1;
        first.record(micros(answer.first))?;
        for gap in &answer.gaps {
            gaps.record(micros(*gap))?;
        }
    }
    trial.calls = calls;
    let verdict = trial.verdict();
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
    let goodput = good as f64 / args.seconds;
    println!(
        "load {:.1} ({rate:.0}/s of {capacity:.0}/s): goodput {goodput:.0}/s, \
         first bytes p50 {:.0} p95 {:.0} ms, gaps p95 {:.1} ms, refusals p95 \
         {:.0} ms, codes {codes:?}, served {served:?}, {verdict:?}",
        args.load,
        ms(&first, 0.5),
        ms(&first, 0.95),
        ms(&gaps, 0.95),
        ms(&refusal, 0.95),
    );
    if args.json {
        let json = json!({
            "load": args.load,
            "fault": args.fault,
            "offered_s": rate,
            "capacity_s": capacity,
            "goodput_s": goodput,
            "first_p50_ms": ms(&first, 0.5),
            "first_p95_ms": ms(&first, 0.95),
            "first_p99_ms": ms(&first, 0.99),
            "gap_p95_ms": ms(&gaps, 0.95),
            "refusal_p95_ms": ms(&refusal, 0.95),
            "codes": codes,
            "served": served,
            "doubled": verdict.doubled,
            "lied": verdict.lied,
            "lost": verdict.lost,
            "mixed": verdict.mixed,
            "cpu_core_share": cpu / wall,
        });
        println!("{json}");
    }
    Ok(())
}

fn micros(span: Duration) -> u64 {
    (span.as_micros() as u64).max(1)
}

async fn load(
    args: &Args,
    trial: &mut Trial,
    rate: f64,
) -> eyre::Result<Vec<(Caller, Answer)>> {
    let entries = trial.local.entries();
    let client = Client::new();
    let count = (rate * args.seconds) as usize;
    let start = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    let dies = if args.fault == "kill" { count / 3 } else { count + 1 };
    for i in 0..count {
        let at = start + Duration::from_secs_f64(i as f64 / rate);
        tokio::time::sleep_until(at).await;
        if i == dies {
            let names = trial.local.agents();
            for name in names.iter().step_by(3) {
                trial.local.kill(name);
            }
        }
        let (client, addr) = (client.clone(), entries[i % entries.len()]);
        let caller = caller(i, args.tokens);
        tasks.push(tokio::spawn(async move {
            let answer = caller.chat(&client, addr, "matcher").await;
            (caller, answer)
        }));
    }
    let mut calls = Vec::new();
    for task in tasks {
        calls.push(task.await?);
    }
    Ok(calls)
}

fn caller(i: usize, tokens: u32) -> Caller {
    let caller = Caller::new(format!("load {i}")).with_tokens(tokens);
    // A fixed pattern: the same requests in each run.
    let mut place = (i * 37 % 100) as f64 / 100.0;
    let mut workspace = None;
    for (name, part) in PARTS {
        if place < part {
            workspace = (!name.is_empty()).then(|| name.to_string());
            break;
        }
        place -= part;
    }
    Caller { workspace, deadline: Some(DEADLINE), ..caller }
}
