//! `stairhinge-standin`: one stand-in as a process, for trials and tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use stairhinge_shell::on_signals;
use stairhinge_standins::{
    Door, Engine, EngineSettings, Later, Origin, Pack, Platform, Running,
    Service, Span, StandIn, start, weights,
};

/// Stand-ins for what the platform brings; for trials and tests only.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Platform(PlatformArgs),
    Origin(OriginArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
}

/// the configuration service and instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// declaration to publish at start
    #[argh(option)]
    config: Option<PathBuf>,
    /// instance list (JSON) to publish at start
    #[argh(option)]
    instances: Option<PathBuf>,
    /// declaration to publish later, as AT:PATH in milliseconds after the
    /// start, in order; may be given more than once
    #[argh(option)]
    later: Vec<Later>,
    /// second address, for processes that it can be silent to
    #[argh(option)]
    door: Option<SocketAddr>,
    /// when it is silent at the second address, as FROM-TO in milliseconds
    /// after the start; may be given more than once
    #[argh(option)]
    silent: Vec<Span>,
}

/// the origin of weights, with made-up weights of some seeds
#[derive(FromArgs)]
#[argh(subcommand, name = "origin")]
struct OriginArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// a version's seed; may be given more than once
    #[argh(option)]
    seed: Vec<u64>,
    /// bytes of each version, in KB
    #[argh(option, default = "1024")]
    size_kb: usize,
    /// bytes of each chunk, in KB
    #[argh(option, default = "64")]
    chunk_kb: usize,
    /// rate of the link in KB/s; 0 is not shaped
    #[argh(option, default = "0")]
    link_kb_s: u64,
    /// print the manifests' digests and exit
    #[argh(switch)]
    print: bool,
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds of a step
    #[argh(option, default = "9")]
    step_ms: u64,
    /// do not check fences
    #[argh(switch)]
    no_fences: bool,
    /// when it stands still, as FROM-TO in milliseconds after the start; may
    /// be given more than once
    #[argh(option)]
    still: Vec<Span>,
}

/// a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds that a call takes
    #[argh(option, default = "5")]
    delay_ms: u64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut door = None;
    let (addr, handler) = match args.what {
        What::Platform(args) => {
            let platform = platform(&args)?;
            door = open_door(&args, &platform).await?;
            let handler: Arc<dyn StandIn> = platform;
            (args.listen, handler)
        }
        What::Origin(args) => match origin(&args)? {
            Some(origin) => (args.listen, origin),
            None => return Ok(()),
        },
        What::Engine(args) => engine(&args),
        What::Service(args) => {
            let delay = Duration::from_millis(args.delay_ms);
            let service: Arc<dyn StandIn> = Service::new(delay);
            (args.listen, service)
        }
    };
    let shutdown = on_signals()?;
    let running = start(addr, handler).await?;
    shutdown.wait().await;
    drop(running);
    drop(door);
    Ok(())
}

type Start = (SocketAddr, Arc<dyn StandIn>);

fn platform(args: &PlatformArgs) -> eyre::Result<Arc<Platform>> {
    use stairhinge::declaration::Fleet;
    use stairhinge::document::{Kind, Listing};

    let platform = Platform::new();
    let declaration = |path: &PathBuf| {
        let text = std::fs::read_to_string(path)?;
        let fleet = Fleet::parse(&text).map_err(|f| eyre::eyre!("{f}"))?;
        eyre::Ok((fleet.revision(), Bytes::from(text)))
    };
    if let Some(path) = &args.config {
        let (revision, bytes) = declaration(path)?;
        platform.publish(Kind::Config, revision, bytes);
    }
    let mut series = Vec::new();
    for later in &args.later {
        let (revision, bytes) = declaration(&later.path)?;
        series.push((later.at, revision, bytes));
    }
    let playing = Arc::clone(&platform);
    tokio::spawn(async move { playing.play(Kind::Config, series).await });
    if let Some(path) = &args.instances {
        platform.list(&Listing::parse(&std::fs::read(path)?)?);
    }
    Ok(platform)
}

async fn open_door(
    args: &PlatformArgs,
    platform: &Arc<Platform>,
) -> eyre::Result<Option<Running>> {
    let Some(addr) = args.door else { return Ok(None) };
    let door = Door::new(Arc::clone(platform));
    shut(&*door, &args.silent);
    Ok(Some(start(addr, door).await?))
}

/// Has a stand-in be silent in some spans after the start.
fn shut(handler: &dyn StandIn, spans: &[Span]) {
    let Some(gate) = handler.gate() else { return };
    for span in spans {
        tokio::spawn(span.shut(Arc::clone(&gate)));
    }
}

fn origin(args: &OriginArgs) -> eyre::Result<Option<Arc<dyn StandIn>>> {
    let origin = Origin::new(args.link_kb_s * 1_000);
    for seed in &args.seed {
        let bytes = weights(*seed, args.size_kb * 1024);
        let pack = Pack::new(&bytes, args.chunk_kb * 1024)?;
        if args.print {
            println!("{seed} {}", pack.manifest());
        }
        origin.add(&pack);
    }
    if args.print {
        return Ok(None);
    }
    Ok(Some(origin))
}

fn engine(args: &EngineArgs) -> Start {
    let settings = EngineSettings {
        step: Duration::from_millis(args.step_ms),
        fences: !args.no_fences,
        ..EngineSettings::default()
    };
    let engine = Engine::new(settings);
    shut(&*engine, &args.still);
    (args.listen, engine)
}
