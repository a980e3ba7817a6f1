//! `stairhinge demo`: the whole system on loopback in one process.

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

/// run all roles on loopback: publish a version, switch to another under
/// load, and count what went wrong
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

/// The window in which the version is to be live: the origin's link carries
/// four copies in it, each machine's link two.
const WINDOW: Duration = Duration::from_secs(4);

/// How long a version may take to be live before the demo gives up.
const PATIENCE: Duration = Duration::from_secs(12);

/// Callers that send one request after another.
const CALLERS: usize = 24;

type Calls = Vec<(Caller, Answer)>;

/// Runs the command; not well if anything was mixed, doubled or lost.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    start_logs(&args.log);
    let plan = Plan {
        halls: HALLS,
        replicas: REPLICAS,
        size: 4 << 20,
        chunk: 32 << 10,
        ..Plan::default()
    }
    .with_window(WINDOW);
    println!(
        "starting {HALLS} data halls, {REPLICAS} model replicas, {HALLS} \
         plain services, {HALLS} entries"
    );
    let mut local = Local::start(plan).await?;
    let mut packs = HashMap::new();
    let start = Instant::now();
    let pack = local.publish("v1", 1)?;
    packs.insert("v1".to_string(), pack.whole().to_string());
    println!("published v1: {} KB", pack.size() / 1024);
    let live_s = watch(&local, "v1", start).await?;
    let copies = local.origin().sent() as f64 / pack.size() as f64;
    println!("v1 is live on {REPLICAS} after {live_s:.1} s");
    println!("the origin sent {copies:.2} copies");

    let stop = Arc::new(AtomicBool::new(false));
    let callers = call(&local, &stop);
    tokio::time::sleep(Duration::from_millis(500)).await;
    println!("published v2 while {CALLERS} callers send requests");
    let start = Instant::now();
    let pack = local.publish("v2", 2)?;
    packs.insert("v2".to_string(), pack.whole().to_string());
    let switch_s = watch(&local, "v2", start).await?;
    println!("v2 is live on {REPLICAS} after {switch_s:.1} s");
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    for task in callers {
        calls.extend(task.await?);
    }
    let tally = judge(&local, &calls, &packs);
    say(&tally, &calls);
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

/// Shows progress until a version is live on all replicas.
async fn watch(
    local: &Local,
    version: &str,
    start: Instant,
) -> eyre::Result<f64> {
    let step = Duration::from_millis(500);
    while start.elapsed() < PATIENCE {
        if local.await_live(version, REPLICAS, step).await {
            return Ok(start.elapsed().as_secs_f64());
        }
        let live = local.live(version).await;
        println!("  {version}: {live} of {REPLICAS} serve");
    }
    Err(eyre::eyre!("{version} is not live after {PATIENCE:?}"))
}

/// Starts callers: most stream, every third request must not be repeated,
/// and half of these carry a key.
fn call(local: &Local, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Calls>> {
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
                let caller = caller(n);
                let answer = caller.chat(&client, addr, "matcher").await;
                calls.push((caller, answer));
            }
            calls
        }));
    }
    tasks
}

fn caller(n: u64) -> Caller {
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

fn judge(
    local: &Local,
    calls: &Calls,
    packs: &HashMap<String, String>,
) -> Tally {
    let mut records = Vec::new();
    for engine in local.engines() {
        records.extend(engine.records());
    }
    verdict(calls, &records, packs)
}

fn say(tally: &Tally, calls: &Calls) {
    let mut firsts: Vec<Duration> = Vec::new();
    let mut codes: HashMap<u16, u64> = HashMap::new();
    for (_, answer) in calls {
        if answer.good() {
            firsts.push(answer.first);
        } else {
            *codes.entry(answer.code).or_default() += 1;
        }
    }
    firsts.sort();
    println!(
        "{} requests: {} answered whole, {} refused with a code, {} mixed, \
         {} doubled, {} lost, {} refused as not run that ran",
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
    if let Some(first) = firsts.get(firsts.len() * 95 / 100) {
        println!("first bytes within {first:?} for 95 in 100");
    }
}
