//! `stairhinge explain`: how has a version come to an instance?

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use stairhinge_shell::control::Wire;

use super::WITHIN;

/// say where a version's chunks on an instance came from, and what it
/// waits for
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Args {
    /// name of the version
    #[argh(positional)]
    version: String,
    /// name of the instance
    #[argh(positional)]
    instance: String,
    /// control address of any process that knows the instance
    #[argh(option)]
    at: SocketAddr,
}

/// Runs the command.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let wire = Wire::start()?;
    let addr = find(&wire, args.at, &args.instance).await?;
    let version: Arc<str> = Arc::from(args.version.as_str());
    for line in wire.explain(addr, WITHIN, version).await? {
        println!("{line}");
    }
    Ok(true)
}

/// Returns the control address of an instance that a process knows.
pub async fn find(
    wire: &Wire,
    at: SocketAddr,
    name: &str,
) -> eyre::Result<SocketAddr> {
    for report in wire.status(at, WITHIN).await? {
        if *report.name != *name {
            continue;
        }
        let unknown = || eyre::eyre!("{name} tells no control address");
        return report.control.ok_or_else(unknown);
    }
    Err(eyre::eyre!("{at} knows no instance {name}"))
}
