//! `stairhinge explain`: shows how an instance got a version's chunks.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use stairhinge_shell::control::Wire;

use super::CONTROL_TIMEOUT;

/// show where an instance got a version's chunks from, and what it is
/// waiting for
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
    let addr = find_control_address(&wire, args.at, &args.instance).await?;
    let version: Arc<str> = Arc::from(args.version.as_str());
    for line in wire.explain(addr, CONTROL_TIMEOUT, version).await? {
        println!("{line}");
    }
    Ok(true)
}

/// Returns the control address of an instance, as reported by the process at
/// `at`.
///
/// # Errors
///
/// If that process can't be reached, doesn't know the instance, or knows no
/// control address of it.
pub async fn find_control_address(
    wire: &Wire,
    at: SocketAddr,
    name: &str,
) -> eyre::Result<SocketAddr> {
    for report in wire.status(at, CONTROL_TIMEOUT).await? {
        if *report.name != *name {
            continue;
        }
        let no_address = || eyre::eyre!("{name} reports no control address");
        return report.control.ok_or_else(no_address);
    }
    Err(eyre::eyre!("the process at {at} knows no instance {name}"))
}
