//! `stairhinge diff`: shows the effects of a change of the declaration.

use std::path::PathBuf;

use argh::FromArgs;
use stairhinge::declaration::{Fleet, diff};

use super::check::read_document;

/// show what publishing a new declaration in place of the current one would
/// do
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

/// Runs the command; returns `false` if the change would be refused because
/// its revision isn't higher.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut fleets = Vec::new();
    for path in [&args.old, &args.new] {
        let fleet = read_document(path).and_then(|text| Fleet::parse(&text));
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
