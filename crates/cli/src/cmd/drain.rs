//! `stairhinge drain`: takes an instance out of service.

use std::net::SocketAddr;

use argh::FromArgs;
use stairhinge_shell::control::Wire;

use super::CONTROL_TIMEOUT;
use super::explain::find_control_address;

/// stop an instance from taking new work; requests in progress finish
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Args {
    /// name of the instance
    #[argh(positional)]
    instance: String,
    /// control address of any process that knows the instance
    #[argh(option)]
    at: SocketAddr,
    /// declaration revision that the order is based on (default: the revision
    /// in force at the process given by --at)
    #[argh(option)]
    based_on: Option<u64>,
}

/// Runs the command; returns `false` if the instance refuses the order.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let wire = Wire::start()?;
    let addr = find_control_address(&wire, args.at, &args.instance).await?;
    let revision = match args.based_on {
        Some(revision) => revision,
        None => wire.fleet(args.at, CONTROL_TIMEOUT).await?.0,
    };
    match wire.drain(addr, CONTROL_TIMEOUT, revision).await {
        Ok(()) => {
            println!("{} leaves", args.instance);
            Ok(true)
        }
        Err(err) => {
            println!("{} refused: {err}", args.instance);
            Ok(false)
        }
    }
}
