//! How a process's control grows with the number of its peers.

use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::json;
use stairhinge_local::{Local, Plan};

use crate::distribute::{metric, metrics};
use crate::report::{memory, processor};

/// measure control bytes, processor time and memory of idle fleets, and how
/// long a change of the declaration takes to be everywhere
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {
    /// agents of each fleet in turn, with commas between
    #[argh(option, default = "\"4,8,16,32,64\".into()")]
    agents: String,
    /// seconds of each measurement
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// changes of the declaration in that time
    #[argh(option, default = "2")]
    changes: u32,
    /// time between exchanges with a peer, in ms
    #[argh(option, default = "2000")]
    beat_ms: u64,
    /// print a JSON object for each size
    #[argh(switch)]
    json: bool,
}

/// How long a change may take to be everywhere.
const LONGEST: Duration = Duration::from_secs(60);

pub async fn run(args: &Args) -> eyre::Result<()> {
    println!(
        "one hall of N agents; per process and second, with {} changes in \
         {} s",
        args.changes, args.seconds
    );
    println!("agents control_B/s core_% rss_MB platform_calls/s change_s");
    for agents in args.agents.split(',') {
        one(args, agents.parse()?).await?;
    }
    Ok(())
}

async fn one(args: &Args, agents: usize) -> eyre::Result<()> {
    let idle = memory();
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
    if !local.await_live("v1", agents, LONGEST).await {
        return Err(eyre::eyre!("{agents} agents do not come up"));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let name = "stairhinge_control_bytes_total";
    let bytes = |texts: &[String]| -> Vec<f64> {
        texts.iter().map(|t| metric(t, name)).collect()
    };
    let before = bytes(&metrics(&local).await);
    let (cpu, calls) = (processor(), local.platform().calls());
    let start = Instant::now();
    let mut slowest = 0.0f64;
    for _ in 0..args.changes {
        let pause = args.seconds / f64::from(args.changes + 1);
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        slowest = slowest.max(change(&mut local).await?);
    }
    let left = args.seconds - start.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs_f64(left.max(0.0))).await;
    let wall = start.elapsed().as_secs_f64();
    let after = bytes(&metrics(&local).await);
    let grown = after.iter().zip(&before).map(|(a, b)| a - b);
    let control = grown.fold(0.0, f64::max) / wall;
    let share = (processor() - cpu).as_secs_f64() / wall;
    let core = share * 100.0 / (agents + 1) as f64;
    let calls = (local.platform().calls() - calls) as f64 / wall;
    let grown = memory().saturating_sub(idle) as f64 / 1e6;
    let each = grown / (agents + 1) as f64;
    println!(
        "{agents} {control:.0} {core:.2} {each:.2} {calls:.1} {slowest:.2}"
    );
    if args.json {
        let json = json!({
            "agents": agents,
            "control_bytes_s": control,
            "cpu_core_percent": core,
            "memory_mb": each,
            "platform_calls_s": calls,
            "change_s": slowest,
        });
        println!("{json}");
    }
    Ok(())
}

/// Publishes a change and waits until all processes have it; the engines are
/// told of it, so these are asked instead of the processes.
async fn change(local: &mut Local) -> eyre::Result<f64> {
    local.serve("v1");
    let revision = local.revision();
    let start = Instant::now();
    while start.elapsed() < LONGEST {
        let told = local.engines().iter().all(|e| e.revision() >= revision);
        if told {
            return Ok(start.elapsed().as_secs_f64());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(eyre::eyre!("revision {revision} is not everywhere"))
}
