//! Time until a version is live on all replicas, and the traffic and CPU time
//! that its distribution takes.

use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::json;
use stairhinge::declaration::Prefer;
use stairhinge::weights::{DistributionBound, Duplex};
use stairhinge_local::{Local, Plan};
use stairhinge_shell::http::Client;
use stairhinge_standins::{EngineSettings, Pack, weights};

use crate::report::{Spread, cpu_time};

/// measure the time until a version is live on all replicas
#[derive(FromArgs)]
#[argh(subcommand, name = "distribute")]
pub struct Args {
    /// model replicas
    #[argh(option, default = "12")]
    replicas: usize,
    /// data halls
    #[argh(option, default = "3")]
    halls: usize,
    /// size of the version, in MB
    #[argh(option, default = "24")]
    size_mb: usize,
    /// number of chunks of the version
    #[argh(option, default = "96")]
    chunks: usize,
    /// window in seconds, in which the origin's link carries four copies and
    /// a machine's link two
    #[argh(option, default = "12.0")]
    window_s: f64,
    /// direct, tree or own
    #[argh(option, default = "\"own\".into()")]
    strategy: String,
    /// time or origin
    #[argh(option, default = "\"time\".into()")]
    prefer: String,
    /// limit of copies fetched from the origin (default: by preference)
    #[argh(option)]
    budget: Option<u32>,
    /// lines added to every agent's settings, separated by ;
    #[argh(option, default = "String::new()")]
    agent: String,
    /// total (both directions share the link) or each
    #[argh(option, default = "\"each\".into()")]
    link: String,
    /// none, kill, corrupt, quota, late, restart or supersede
    #[argh(option, default = "\"none\".into()")]
    fault: String,
    /// number of runs
    #[argh(option, default = "1")]
    runs: usize,
    /// print a JSON object as the last line
    #[argh(switch)]
    json: bool,
}

/// The results of one run.
struct Run {
    live_s: f64,
    origin: f64,
    far: f64,
    max_sent: f64,
    corrupt: u64,
    control: f64,
    cpu: f64,
}

/// Timeout of a run, in windows.
const TIMEOUT_WINDOWS: f64 = 12.0;

pub async fn run(args: &Args) -> eyre::Result<()> {
    let mut runs = Vec::new();
    for i in 0..args.runs.max(1) {
        runs.push(run_once(args, i as u64 + 1).await?);
    }
    let spread = |f: fn(&Run) -> f64| {
        Spread::of(&runs.iter().map(f).collect::<Vec<_>>())
    };
    let live = spread(|r| r.live_s);
    let origin = spread(|r| r.origin);
    let limit = min_duration_s(args);
    let ratio = live.median / limit;
    println!(
        "{} {} replicas in {} halls, prefer {}, link {}, fault {}: live \
         {:.2} {:.2} {:.2} s (min median max of {}), limit {limit:.2} s, \
         ratio {ratio:.2}, origin copies {:.2}",
        args.strategy,
        args.replicas,
        args.halls,
        args.prefer,
        args.link,
        args.fault,
        live.min,
        live.median,
        live.max,
        runs.len(),
        origin.median,
    );
    if args.json {
        let far = spread(|r| r.far);
        let sent = spread(|r| r.max_sent);
        let json = json!({
            "strategy": args.strategy,
            "replicas": args.replicas,
            "halls": args.halls,
            "prefer": args.prefer,
            "link": args.link,
            "fault": args.fault,
            "runs": runs.len(),
            "live_s": live.median,
            "live_min_s": live.min,
            "live_max_s": live.max,
            "limit_s": limit,
            "ratio": ratio,
            "ratio_min": live.min / limit,
            "ratio_max": live.max / limit,
            "origin_copies": origin.max,
            "cross_hall_copies": far.max,
            "max_sent_copies": sent.max,
            "control_bytes_s": spread(|r| r.control).max,
            "cpu_core_share": spread(|r| r.cpu).max,
            "wrong_chunks_served": spread(|r| r.corrupt as f64).max,
        });
        println!("{json}");
    }
    Ok(())
}

fn min_duration_s(args: &Args) -> f64 {
    let link = if args.link == "total" { Duplex::Half } else { Duplex::Full };
    let window = Duration::from_secs_f64(args.window_s);
    let copies = match args.prefer.as_str() {
        "origin" => 1.0,
        _ => DistributionBound::ORIGIN_COPIES,
    };
    DistributionBound::new(args.replicas as u32, window, link)
        .min_duration(copies)
        .as_secs_f64()
}

fn plan(args: &Args) -> Plan {
    let size = args.size_mb << 20;
    let prefer = match args.prefer.as_str() {
        "origin" => Prefer::Origin,
        _ => Prefer::Time,
    };
    let waiting = (args.window_s * 500.0) as u64;
    let suspect = (args.window_s * 250.0) as u64;
    Plan {
        halls: args.halls,
        replicas: args.replicas,
        entries: 1,
        service: false,
        prefer,
        budget: args.budget,
        beat_ms: 1_000,
        size,
        chunk: size / args.chunks,
        link_shared: args.link == "total",
        engine: EngineSettings {
            step: Duration::from_millis(50),
            ..EngineSettings::default()
        },
        agent: format!(
            "strategy: {}\nwaiting_ms: {waiting}\nsuspect_ms: {suspect}\n\
             poll_ms: 200\n{}\n",
            args.strategy,
            args.agent.replace(';', "\n"),
        ),
        ..Plan::default()
    }
    .with_window(Duration::from_secs_f64(args.window_s))
}

async fn run_once(args: &Args, seed: u64) -> eyre::Result<Run> {
    let plan = plan(args);
    let mut local = Local::start(plan).await?;
    // Publishes a small version first, so that all agents are ready and know
    // each other.
    let first = Pack::new(&weights(1_000 + seed, 64 << 10), 16 << 10)?;
    local.publish_pack("warm", &first);
    let ready = Duration::from_secs(60);
    if !local.await_live("warm", args.replicas, ready).await {
        return Err(eyre::eyre!("the agents did not become ready in time"));
    }
    let late = match args.fault.as_str() {
        "late" => Some(local.agents()[0].clone()),
        _ => None,
    };
    if let Some(name) = &late {
        local.kill(name);
    }
    let bytes = weights(seed, args.size_mb << 20);
    let pack = Pack::new(&bytes, (args.size_mb << 20) / args.chunks)?;
    if args.fault == "corrupt" {
        local.origin().faults().corrupt(50);
    }
    if args.fault == "quota" {
        local.origin().faults().quota(local.origin().sent() + pack.size());
    }
    let before = totals(&local).await;
    let sent = local.origin().sent();
    let (cpu, control_before) = (cpu_time(), control_bytes(&local).await);
    let start = Instant::now();
    local.publish_pack("burst", &pack);
    let quarter_window = Duration::from_secs_f64(args.window_s / 4.0);
    inject_fault(args, &mut local, quarter_window, late.as_deref(), seed)
        .await?;
    let timeout = Duration::from_secs_f64(args.window_s * TIMEOUT_WINDOWS);
    let last = if args.fault == "supersede" { "later" } else { "burst" };
    if !local.await_live(last, args.replicas, timeout).await {
        return Err(eyre::eyre!(
            "version {last} is not live after {timeout:?}"
        ));
    }
    let live_s = start.elapsed().as_secs_f64();
    let cpu = (cpu_time() - cpu).as_secs_f64();
    let after = totals(&local).await;
    let size = pack.size() as f64;
    let mut max_sent = 0.0f64;
    let mut far = 0.0;
    let mut corrupt = 0;
    for (a, b) in after.iter().zip(&before) {
        max_sent = max_sent.max((a.sent - b.sent).max(0.0) / size);
        far += (a.far - b.far).max(0.0) / size;
        // Counts only chunks from peers; corrupt ones from the origin aren't
        // served by the system.
        corrupt += (a.corrupt - b.corrupt).max(0.0) as u64;
    }
    let count = args.replicas as f64;
    let control_after = control_bytes(&local).await;
    let control =
        control_after.iter().zip(&control_before).map(|(a, b)| a - b);
    Ok(Run {
        live_s,
        origin: (local.origin().sent() - sent) as f64 / size,
        far,
        max_sent,
        corrupt,
        control: control.fold(0.0, f64::max) / live_s,
        cpu: cpu / live_s / count,
    })
}

async fn inject_fault(
    args: &Args,
    local: &mut Local,
    quarter_window: Duration,
    late: Option<&str>,
    seed: u64,
) -> eyre::Result<()> {
    let names = local.agents();
    match args.fault.as_str() {
        "kill" => {
            tokio::time::sleep(quarter_window).await;
            local.kill(&names[0]);
            tokio::time::sleep(quarter_window).await;
            local.restart(&names[0])?;
        }
        "restart" => {
            tokio::time::sleep(quarter_window).await;
            for name in names.iter().step_by(3) {
                local.kill(name);
                local.restart(name)?;
            }
        }
        "late" => {
            tokio::time::sleep(quarter_window * 2).await;
            if let Some(name) = late {
                local.restart(name)?;
            }
        }
        "supersede" => {
            tokio::time::sleep(quarter_window).await;
            // Half of the bytes are those of the previous version.
            let size = args.size_mb << 20;
            let mut bytes = weights(seed, size).to_vec();
            let other = weights(seed + 500, size);
            bytes[size / 2..].copy_from_slice(&other[size / 2..]);
            let pack = Pack::new(&bytes.into(), size / args.chunks)?;
            local.publish_pack("later", &pack);
        }
        _ => {}
    }
    Ok(())
}

/// Counters of one agent.
#[derive(Clone, Copy, Default)]
struct Totals {
    sent: f64,
    far: f64,
    corrupt: f64,
}

async fn totals(local: &Local) -> Vec<Totals> {
    let mut totals = Vec::new();
    for text in metrics(local).await {
        totals.push(Totals {
            sent: metric_value(&text, "stairhinge_weights_sent_bytes_total"),
            far: metric_value(
                &text,
                "stairhinge_weights_received_bytes_total{source=\"far\"}",
            ),
            corrupt: corrupt_chunks(&text, "near")
                + corrupt_chunks(&text, "far"),
        });
    }
    totals
}

fn corrupt_chunks(text: &str, source: &str) -> f64 {
    let name = "stairhinge_chunks_corrupt_total";
    metric_value(text, &format!("{name}{{source=\"{source}\"}}"))
}

async fn control_bytes(local: &Local) -> Vec<f64> {
    let texts = metrics(local).await;
    let name = "stairhinge_control_bytes_total";
    texts.iter().map(|t| metric_value(t, name)).collect()
}

/// Returns the metrics of all agents, read from their HTTP endpoints; empty
/// for an agent that doesn't answer.
pub async fn metrics(local: &Local) -> Vec<String> {
    let client = Client::new();
    let within = Duration::from_secs(5);
    let asked = local.agent_addrs().into_iter().map(|addr| {
        let client = client.clone();
        async move { client.get(addr, "/metrics", 1 << 20, within).await }
    });
    let mut texts = Vec::new();
    for got in futures::future::join_all(asked).await {
        let text = got.map(|(_, _, b)| String::from_utf8_lossy(&b).into());
        texts.push(text.unwrap_or_default());
    }
    texts
}

/// Returns the value of one metric line, or zero if there is none.
pub fn metric_value(text: &str, name: &str) -> f64 {
    for line in text.lines() {
        let Some(rest) = line.strip_prefix(name) else { continue };
        if let Ok(value) = rest.trim().parse() {
            return value;
        }
    }
    0.0
}
