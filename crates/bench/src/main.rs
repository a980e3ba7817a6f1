//! `stairhinge-bench`: load tests and experiments with real agents and entries
//! on loopback sockets, simulated engines and baselines.

mod distribute;
mod report;
mod serve;
mod slopes;

use argh::FromArgs;

/// Measures stairhinge on loopback: distribution of weights, serving under
/// load, and how control traffic grows with the number of peers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Distribute(distribute::Args),
    Serve(serve::Args),
    Slopes(slopes::Args),
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    stairhinge_shell::start_logs("off");
    match args.command {
        Command::Distribute(args) => runtime.block_on(distribute::run(&args)),
        Command::Serve(args) => runtime.block_on(serve::run(&args)),
        Command::Slopes(args) => runtime.block_on(slopes::run(&args)),
    }
}
