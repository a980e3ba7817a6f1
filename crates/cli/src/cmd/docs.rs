//! `stairhinge docs`: generates tables of the documentation from the code.

use argh::FromArgs;
use stairhinge::Code;
use stairhinge_shell::settings::document;

/// print a table of the documentation, generated from the code: errors,
/// entry or agent
#[derive(FromArgs)]
#[argh(subcommand, name = "docs")]
pub struct Args {
    /// table to print
    #[argh(positional)]
    table: String,
}

/// Runs the command; returns `false` if there is no such table.
pub fn run(args: &Args) -> bool {
    match args.table.as_str() {
        "errors" => print!("{}", Code::table()),
        "agent" => print!("{}", document(&stairhinge_agent::table())),
        "entry" => print!("{}", document(&stairhinge_entry::table())),
        other => {
            println!(
                "unknown table \"{other}\"; allowed: errors, entry, agent"
            );
            return false;
        }
    }
    true
}
