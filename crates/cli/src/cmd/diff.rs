//! `stairhinge diff`: what would a change of the declaration do?

use std::path::PathBuf;

use argh::FromArgs;
use stairhinge::declaration::{Fleet, diff};

use super::check::read;

/// say what publishing one declaration after another would do
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Args {
    /// declaration in force
    #[argh(positional)]
    old: PathBuf,
    /// declaration to be published
    #[argh(positional)]
    new: PathBuf,
}

/// Runs the command; not well if the change would be refused.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut fleets = Vec::new();
    for path in [&args.old, &args.new] {
        let fleet = read(path).and_then(|text| Fleet::parse(&text));
        let name = path.display();
        fleets.push(fleet.map_err(|f| eyre::eyre!("{name}:\n{f}"))?);
    }
    let lines = diff(&fleets[0], &fleets[1]);
    for line in &lines {
        println!("{line}");
    }
    if lines.is_empty() {
        println!("no effect");
    }
    Ok(fleets[1].revision() > fleets[0].revision())
}
