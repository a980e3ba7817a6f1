//! `stairhinge drain`: have an instance leave.

use std::net::SocketAddr;

use argh::FromArgs;
use stairhinge_shell::control::Wire;

use super::WITHIN;
use super::explain::find;

/// have an instance take no new work; what is in progress finishes
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Args {
    /// name of the instance
    #[argh(positional)]
    instance: String,
    /// control address of any process that knows the instance
    #[argh(option)]
    at: SocketAddr,
    /// revision that the order is based on (default: the one in force there)
    #[argh(option)]
    based_on: Option<u64>,
}

/// Runs the command; not well if the order is refused.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let wire = Wire::start()?;
    let addr = find(&wire, args.at, &args.instance).await?;
    let revision = match args.based_on {
        Some(revision) => revision,
        None => wire.fleet(args.at, WITHIN).await?.0,
    };
    match wire.drain(addr, WITHIN, revision).await {
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
