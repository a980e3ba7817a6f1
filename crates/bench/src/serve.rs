//! Serving under load: latency, goodput, refusals, fairness.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde_json::json;
use stairhinge_local::{Answer, Caller, Plan, Trial};
use stairhinge_shell::http::Client;
use stairhinge_standins::EngineSettings;

use crate::report::cpu_time;

/// send requests at a fixed rate, independent of answers, and measure
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Args {
    /// model replicas
    #[argh(option, default = "6")]
    replicas: usize,
    /// data halls
    #[argh(option, default = "3")]
    halls: usize,
    /// offered load, relative to the engines' capacity
    #[argh(option, default = "1.0")]
    load: f64,
    /// duration in seconds
    #[argh(option, default = "6.0")]
    seconds: f64,
    /// tokens per answer
    #[argh(option, default = "32")]
    tokens: u32,
    /// none or kill: kill a third of the agents after a third of the requests
    #[argh(option, default = "\"none\".into()")]
    fault: String,
    /// print a JSON object as the last line
    #[argh(switch)]
    json: bool,
}

const ENGINE_STEP: Duration = Duration::from_millis(9);
const ENGINE_BATCH: usize = 8;

/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(3);

/// Two large workspaces and a small one, with their shares of the requests.
const WORKSPACE_SHARES: [(&str, f64); 3] =
    [("counter", 0.5), ("web", 0.45), ("", 0.05)];

pub async fn run(args: &Args) -> eyre::Result<()> {
    let plan = Plan {
        halls: args.halls,
        replicas: args.replicas,
        engine: EngineSettings {
            step: ENGINE_STEP,
            batch: ENGINE_BATCH,
            queue: 4,
            fences: true,
        },
        // Each entry gets its share of the batch slots, and a queue.
        entry: format!(
            "running: {}\nqueued: 64\nusual_ms: {}\n",
            (ENGINE_BATCH * args.replicas).div_ceil(args.halls),
            (ENGINE_STEP * args.tokens).as_millis(),
        ),
        ..Plan::default()
    };
    let mut trial = Trial::start(plan).await?;
    let answer_time = ENGINE_STEP.as_secs_f64() * f64::from(args.tokens);
    let capacity = (ENGINE_BATCH * args.replicas) as f64 / answer_time;
    let rate = capacity * args.load;
    let cpu = cpu_time();
    let start = Instant::now();
    let calls = load(args, &mut trial, rate).await?;
    let wall = start.elapsed().as_secs_f64();
    let cpu = (cpu_time() - cpu).as_secs_f64();
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
    let kill_at = if args.fault == "kill" { count / 3 } else { count + 1 };
    for i in 0..count {
        let at = start + Duration::from_secs_f64(i as f64 / rate);
        tokio::time::sleep_until(at).await;
        if i == kill_at {
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
    // A fixed pattern, so that each run sends the same requests.
    let mut position = (i * 37 % 100) as f64 / 100.0;
    let mut workspace = None;
    for (name, share) in WORKSPACE_SHARES {
        if position < share {
            workspace = (!name.is_empty()).then(|| name.to_string());
            break;
        }
        position -= share;
    }
    Caller { workspace, deadline: Some(DEADLINE), ..caller }
}
