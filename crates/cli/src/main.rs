//! `stairhinge`: the operator's command-line tool.

mod cmd;

use std::process::ExitCode;

use argh::FromArgs;
use cmd::{
    check, demo, diff, docs, drain, explain, explain_request, status, timeline,
};

/// Operates a stairhinge fleet: checks declarations and settings, shows the
/// rollout of versions, explains rollouts and request failures, drains
/// instances, and merges logs into one time line.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Args),
    Diff(diff::Args),
    Status(status::Args),
    Explain(explain::Args),
    ExplainRequest(explain_request::Args),
    Drain(drain::Args),
    Timeline(timeline::Args),
    Demo(demo::Args),
    Docs(docs::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        // One line with the chain of causes. The debug format would add the
        // source location, which is of no use to an operator.
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command and returns whether it succeeded.
async fn run(command: Command) -> eyre::Result<bool> {
    let success = match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args)?,
        Command::Status(args) => status::run(&args).await?,
        Command::Explain(args) => explain::run(&args).await?,
        Command::ExplainRequest(args) => explain_request::run(&args)?,
        Command::Drain(args) => drain::run(&args).await?,
        Command::Timeline(args) => timeline::run(&args)?,
        Command::Demo(args) => demo::run(&args).await?,
        Command::Docs(args) => docs::run(&args),
    };
    Ok(success)
}
