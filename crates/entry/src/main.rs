//! The `stairhinge-entry` program, which takes callers' requests.

use std::path::PathBuf;

use argh::FromArgs;
use stairhinge_entry::{Settings, table};
use stairhinge_shell::control::Wire;
use stairhinge_shell::settings::load;
use stairhinge_shell::{Listeners, on_signals, start_logs, to_report};

/// The entry of a data hall: takes callers' requests and picks a backend
/// server for each.
#[derive(FromArgs)]
struct Args {
    /// settings file (YAML; see docs/SETTINGS.md)
    #[argh(option, short = 's')]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let values = load(&args.settings, &table())
        .map_err(|f| eyre::eyre!("{}:\n{f}", args.settings.display()))?;
    let settings = Settings::new(values);
    start_logs(&settings.values.text("log"));
    let listeners = Listeners::of(&settings.values).map_err(to_report)?;
    let wire = Wire::start().map_err(to_report)?;
    let shutdown = on_signals()?;
    stairhinge_entry::run(settings, listeners, wire, shutdown)
        .await
        .map_err(to_report)
}
