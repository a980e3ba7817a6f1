//! `stairhinge-bench`: load and experiments over real agents and entries on
//! loopback sockets, with the stand-ins and with baselines.

mod distribute;
mod report;
mod serve;
mod slopes;

use argh::FromArgs;

/// Measures stairhinge on loopback: distribution of weights, serving under
/// load, and how control grows with the number of peers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
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
    match args.what {
        What::Distribute(args) => runtime.block_on(distribute::run(&args)),
        What::Serve(args) => runtime.block_on(serve::run(&args)),
        What::Slopes(args) => runtime.block_on(slopes::run(&args)),
    }
}
