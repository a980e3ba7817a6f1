//! `stairhinge demo`: runs the whole system on loopback in one process.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::json;
use stairhinge_local::{Answer, Caller, Local, Plan, Tally, verdict};
use stairhinge_shell::http::Client;
use stairhinge_shell::start_logs;
use tokio::task::JoinHandle;

/// run all roles on loopback: publish a version, switch to another one
/// under load, and count wrong, repeated and lost answers
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Args {
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// log level on standard error (default: off)
    #[argh(option, default = "\"off\".into()")]
    log: String,
}

const HALLS: usize = 3;
const REPLICAS: usize = 12;

/// Target time for a version to be live on all replicas. In this time the
/// origin's link can carry four copies and each machine's link two.
const LIVE_WINDOW: Duration = Duration::from_secs(4);

/// Time after which the demo fails if a version isn't live on all replicas.
const LIVE_TIMEOUT: Duration = Duration::from_secs(12);

/// Concurrent callers, each of which sends one request after another.
const CALLERS: usize = 24;

type Calls = Vec<(Caller, Answer)>;

/// Runs the command; returns `false` if no request was answered, or if any
/// was answered from mixed or wrong weights, ran more than once, was lost, or
/// ran though it was refused as not run.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    start_logs(&args.log);
    let plan = Plan {
        halls: HALLS,
        replicas: REPLICAS,
        size: 4 << 20,
        chunk: 32 << 10,
        ..Plan::default()
    }
    .with_window(LIVE_WINDOW);
    println!(
        "starting {HALLS} data halls, {REPLICAS} model replicas, {HALLS} \
         plain services, {HALLS} entries"
    );
    let mut local = Local::start(plan).await?;
    let mut digests = HashMap::new();
    let start = Instant::now();
    let pack = local.publish("v1", 1)?;
    digests.insert("v1".to_string(), pack.whole().to_string());
    println!("published v1: {} KB", pack.size() / 1024);
    let live_s = wait_until_live(&local, "v1", start).await?;
    let copies = local.origin().sent() as f64 / pack.size() as f64;
    println!("v1 is live on {REPLICAS} replicas after {live_s:.1} s");
    println!("the origin sent {copies:.2} copies of the weights");

    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&local, &stop);
    tokio::time::sleep(Duration::from_millis(500)).await;
    println!("published v2 while {CALLERS} callers send requests");
    let start = Instant::now();
    let pack = local.publish("v2", 2)?;
    digests.insert("v2".to_string(), pack.whole().to_string());
    let switch_s = wait_until_live(&local, "v2", start).await?;
    println!("v2 is live on {REPLICAS} replicas after {switch_s:.1} s");
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    for task in callers {
        calls.extend(task.await?);
    }
    let tally = tally_calls(&local, &calls, &digests);
    print_tally(&tally, &calls);
    if args.json {
        let json = json!({
            "replicas": REPLICAS,
            "live_s": live_s,
            "switch_s": switch_s,
            "origin_copies": copies,
            "requests": tally.requests,
            "answered": tally.answered,
            "refused": tally.refused,
            "mixed": tally.mixed,
            "doubled": tally.doubled,
            "lost": tally.lost,
            "lied": tally.lied,
        });
        println!("{json}");
    }
    let wrong = tally.mixed + tally.doubled + tally.lost + tally.lied;
    Ok(wrong == 0 && tally.answered > 0)
}

/// Prints the progress of a rollout until the version is live on all
/// replicas, and returns the seconds since `start`.
async fn wait_until_live(
    local: &Local,
    version: &str,
    start: Instant,
) -> eyre::Result<f64> {
    let step = Duration::from_millis(500);
    while start.elapsed() < LIVE_TIMEOUT {
        if local.await_live(version, REPLICAS, step).await {
            return Ok(start.elapsed().as_secs_f64());
        }
        let live = local.live(version).await;
        println!("  {version}: {live} of {REPLICAS} replicas serve");
    }
    Err(eyre::eyre!("{version} is not live after {LIVE_TIMEOUT:?}"))
}

/// Starts the callers: most requests stream; every third one must not be
/// repeated, and half of these carry an idempotency key.
fn start_callers(
    local: &Local,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Calls>> {
    let entries = local.entries();
    let count = Arc::new(AtomicU64::new(0));
    let client = Client::new();
    let mut tasks = Vec::new();
    for i in 0..CALLERS {
        let addr = entries[i % entries.len()];
        let (stop, count) = (Arc::clone(stop), Arc::clone(&count));
        let client = client.clone();
        tasks.push(tokio::spawn(async move {
            let mut calls = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let n = count.fetch_add(1, Ordering::Relaxed);
                let caller = nth_caller(n);
                let answer = caller.chat(&client, addr, "matcher").await;
                calls.push((caller, answer));
            }
            calls
        }));
    }
    tasks
}

/// Returns the caller of the `n`th request.
fn nth_caller(n: u64) -> Caller {
    let prompt = format!("demo request {n}");
    let key = format!("demo-key-{n}");
    let caller = Caller::new(prompt);
    match n % 6 {
        0 => caller.once(Some(&key)),
        1 => caller.whole(),
        3 => caller.once(None),
        _ => caller,
    }
}

/// Compares the answers with the records of the engines.
fn tally_calls(
    local: &Local,
    calls: &Calls,
    digests: &HashMap<String, String>,
) -> Tally {
    let mut records = Vec::new();
    for engine in local.engines() {
        records.extend(engine.records());
    }
    verdict(calls, &records, digests)
}

fn print_tally(tally: &Tally, calls: &Calls) {
    let mut first_byte_times: Vec<Duration> = Vec::new();
    let mut codes: HashMap<u16, u64> = HashMap::new();
    for (_, answer) in calls {
        if answer.good() {
            first_byte_times.push(answer.first);
        } else {
            *codes.entry(answer.code).or_default() += 1;
        }
    }
    first_byte_times.sort();
    println!(
        "{} requests: {} answered completely, {} refused with a code, {} \
         with mixed or wrong weights, {} run more than once, {} lost, {} \
         refused as not run but run",
        tally.requests,
        tally.answered,
        tally.refused,
        tally.mixed,
        tally.doubled,
        tally.lost,
        tally.lied
    );
    for (code, count) in codes {
        println!("  code {code}: {count}");
    }
    if let Some(first) =
        first_byte_times.get(first_byte_times.len() * 95 / 100)
    {
        println!("95th percentile of the time to the first byte: {first:?}");
    }
}
