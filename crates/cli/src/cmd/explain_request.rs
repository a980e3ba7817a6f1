//! `stairhinge explain-request`: finds the cause of a request's outcome in
//! logs.

use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use argh::FromArgs;
use eyre::WrapErr as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use stairhinge::explanation::{Explainer, Explanation, LogLine};

/// explain, from logs alone, the outcome of requests that entries sent
/// directly to replicas
#[derive(FromArgs)]
#[argh(subcommand, name = "explain-request")]
pub struct Args {
    /// log files (JSON lines, one file per process); - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// id of the request to explain (`Request-Id`)
    #[argh(option)]
    id: Option<String>,
    /// count requests by outcome and kind of cause
    #[argh(switch)]
    summary: bool,
    /// explain this many failed requests, sampled at random
    #[argh(option)]
    draw: Option<usize>,
    /// seed of the random sample; the same seed gives the same sample
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the command; returns `false` if no log line names the request given
/// by `--id`.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut explainer = Explainer::new();
    for path in &args.files {
        read_log(&mut explainer, path)?;
    }
    let (decisions, skipped) =
        (explainer.lines_read(), explainer.lines_skipped());
    eprintln!("{decisions} decisions read, {skipped} other lines skipped");
    if args.summary {
        for ((outcome, kind), count) in explainer.summary() {
            println!("{count:>8} {}: {kind}", outcome.name());
        }
    }
    for id in sample_failed(&explainer, args) {
        if let Some(explanation) = explainer.explain(id) {
            print_explanation(id, &explanation);
        }
    }
    let Some(id) = &args.id else { return Ok(true) };
    let Some(explanation) = explainer.explain(id) else {
        eprintln!("no line of these logs names request {id}");
        return Ok(false);
    };
    print_explanation(id, &explanation);
    Ok(true)
}

/// Reads one log; its process is named after the file.
fn read_log(explainer: &mut Explainer, path: &Path) -> eyre::Result<()> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        text
    } else {
        std::fs::read_to_string(path)
            .wrap_err_with(|| format!("{}", path.display()))?
    };
    let name = path.file_stem().unwrap_or(path.as_os_str());
    let process: Arc<str> = Arc::from(name.to_string_lossy().as_ref());
    for line in text.lines() {
        explainer.read_line(&process, line);
    }
    Ok(())
}

/// Returns a random sample of the failed requests.
fn sample_failed<'a>(
    explainer: &'a Explainer,
    args: &Args,
) -> Vec<&'a Arc<str>> {
    let Some(count) = args.draw else { return Vec::new() };
    let failed = explainer.failed_requests();
    let mut random = StdRng::seed_from_u64(args.seed);
    failed.sample(&mut random, count).copied().collect()
}

/// Prints an explanation with times relative to the request's first line.
fn print_explanation(id: &str, explanation: &Explanation<'_>) {
    let history = explanation.history;
    let start = history.lines()[0].uptime_ms();
    let at = |line: &LogLine| line.uptime_ms() as i64 - start as i64;
    let entry = history.lines()[0].process();
    println!("request {id} at {entry}: {}", history.outcome().name());
    for line in &explanation.entry_lines {
        println!("  {:>7} ms context   {}", at(line), line.text());
    }
    for line in history.lines() {
        println!("  {:>7} ms request   {}", at(line), line.text());
    }
    for line in &explanation.agent_lines {
        // Uptimes of different processes can't be compared, so this uses wall
        // clocks; these may differ between machines, hence the `~`.
        let at = line.wall_ms() as i64 - history.lines()[0].wall_ms() as i64;
        println!(" ~{at:>7} ms {} {}", line.process(), line.text());
    }
    println!("  cause: {}", explanation.cause);
}
