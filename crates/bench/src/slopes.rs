//! Growth of per-process control traffic with the number of peers.

use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::json;
use stairhinge_local::{Local, Plan};

use crate::distribute::{metric_value, metrics};
use crate::report::{cpu_time, resident_bytes};

/// measure control traffic, CPU time and memory of idle fleets, and how long
/// a change of the declaration takes to reach all processes
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {
    /// comma-separated agent counts of the measured fleets
    #[argh(option, default = "\"4,8,16,32,64\".into()")]
    agents: String,
    /// duration of each measurement in seconds
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// changes of the declaration during each measurement
    #[argh(option, default = "2")]
    changes: u32,
    /// time between exchanges with a peer, in ms
    #[argh(option, default = "2000")]
    beat_ms: u64,
    /// print a JSON object for each fleet
    #[argh(switch)]
    json: bool,
}

/// Timeout for the start of a fleet and for the propagation of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

pub async fn run(args: &Args) -> eyre::Result<()> {
    println!(
        "one hall of N agents; per process and second, with {} changes in \
         {} s",
        args.changes, args.seconds
    );
    println!("agents control_B/s core_% rss_MB platform_calls/s change_s");
    for agents in args.agents.split(',') {
        measure(args, agents.parse()?).await?;
    }
    Ok(())
}

async fn measure(args: &Args, agents: usize) -> eyre::Result<()> {
    let idle = resident_bytes();
    let plan = Plan {
        halls: 1,
        replicas: agents,
        entries: 1,
        service: false,
        size: 64 << 10,
        beat_ms: args.beat_ms,
        step_ms: 2_000,
        ..Plan::default()
    };
    let mut local = Local::start(plan).await?;
    local.publish("v1", 1)?;
    if !local.await_live("v1", agents, CHANGE_TIMEOUT).await {
        return Err(eyre::eyre!(
            "{agents} agents did not become ready in time"
        ));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let name = "stairhinge_control_bytes_total";
    let bytes = |texts: &[String]| -> Vec<f64> {
        texts.iter().map(|t| metric_value(t, name)).collect()
    };
    let before = bytes(&metrics(&local).await);
    let (cpu, calls) = (cpu_time(), local.platform().calls());
    let start = Instant::now();
    let mut slowest = 0.0f64;
    for _ in 0..args.changes {
        let pause = args.seconds / f64::from(args.changes + 1);
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        slowest = slowest.max(propagate_change(&mut local).await?);
    }
    let left = args.seconds - start.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs_f64(left.max(0.0))).await;
    let wall = start.elapsed().as_secs_f64();
    let after = bytes(&metrics(&local).await);
    let grown = after.iter().zip(&before).map(|(a, b)| a - b);
    let control = grown.fold(0.0, f64::max) / wall;
    let share = (cpu_time() - cpu).as_secs_f64() / wall;
    let core = share * 100.0 / (agents + 1) as f64;
    let calls = (local.platform().calls() - calls) as f64 / wall;
    let grown = resident_bytes().saturating_sub(idle) as f64 / 1e6;
    let each_mb = grown / (agents + 1) as f64;
    println!(
        "{agents} {control:.0} {core:.2} {each_mb:.2} {calls:.1} {slowest:.2}"
    );
    if args.json {
        let json = json!({
            "agents": agents,
            "control_bytes_s": control,
            "cpu_core_percent": core,
            "memory_mb": each_mb,
            "platform_calls_s": calls,
            "change_s": slowest,
        });
        println!("{json}");
    }
    Ok(())
}

/// Publishes a change, waits until it has reached all engines and returns the
/// seconds taken. Agents forward each revision to their engines, so the
/// engines show when all agents have it.
async fn propagate_change(local: &mut Local) -> eyre::Result<f64> {
    local.serve("v1");
    let revision = local.revision();
    let start = Instant::now();
    while start.elapsed() < CHANGE_TIMEOUT {
        let told = local.engines().iter().all(|e| e.revision() >= revision);
        if told {
            return Ok(start.elapsed().as_secs_f64());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(eyre::eyre!("revision {revision} did not reach all engines in time"))
}
