//! `stairhinge docs`: the tables of the docs, from the code.

use argh::FromArgs;
use stairhinge::Code;
use stairhinge_shell::settings::document;

/// print a table of the docs as the code has it: errors, entry or agent
#[derive(FromArgs)]
#[argh(subcommand, name = "docs")]
pub struct Args {
    /// which table
    #[argh(positional)]
    table: String,
}

/// Runs the command.
pub fn run(args: &Args) -> bool {
    match args.table.as_str() {
        "errors" => print!("{}", Code::table()),
        "agent" => print!("{}", document(&stairhinge_agent::table())),
        "entry" => print!("{}", document(&stairhinge_entry::table())),
        other => {
            println!("table \"{other}\", allowed: errors, entry, agent");
            return false;
        }
    }
    true
}
