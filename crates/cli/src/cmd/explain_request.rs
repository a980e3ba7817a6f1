//! `stairhinge explain-request`: why a request ended as it did.

use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use argh::FromArgs;
use eyre::WrapErr as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use stairhinge::explanation::{Explainer, Explanation, LogLine};

/// tell from logs alone why requests of direct serving ended as they did
#[derive(FromArgs)]
#[argh(subcommand, name = "explain-request")]
pub struct Args {
    /// log files (JSON lines, one file a process); - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// the request's id (`Request-Id`)
    #[argh(option)]
    id: Option<String>,
    /// count requests by outcome and kind of cause
    #[argh(switch)]
    summary: bool,
    /// explain so many failed requests, drawn by lot
    #[argh(option)]
    draw: Option<usize>,
    /// what the lot is drawn from; the same seed draws the same
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the command.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut explainer = Explainer::new();
    for path in &args.files {
        read(&mut explainer, path)?;
    }
    let (read, passed) = (explainer.lines_read(), explainer.lines_skipped());
    eprintln!("{read} decisions read, {passed} other lines");
    if args.summary {
        for ((outcome, kind), count) in explainer.summary() {
            println!("{count:>8} {}: {kind}", outcome.name());
        }
    }
    for id in drawn(&explainer, args) {
        if let Some(explanation) = explainer.explain(id) {
            print(id, &explanation);
        }
    }
    let Some(id) = &args.id else { return Ok(true) };
    let Some(explanation) = explainer.explain(id) else {
        eprintln!("no line of these logs names request {id}");
        return Ok(false);
    };
    print(id, &explanation);
    Ok(true)
}

fn read(explainer: &mut Explainer, path: &Path) -> eyre::Result<()> {
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

fn drawn<'a>(explainer: &'a Explainer, args: &Args) -> Vec<&'a Arc<str>> {
    let Some(count) = args.draw else { return Vec::new() };
    let failed = explainer.failed_requests();
    let mut random = StdRng::seed_from_u64(args.seed);
    failed.sample(&mut random, count).copied().collect()
}

fn print(id: &str, explanation: &Explanation<'_>) {
    let history = explanation.history;
    let start = history.lines()[0].uptime_ms();
    let at = |line: &LogLine| line.uptime_ms() as i64 - start as i64;
    let entry = history.lines()[0].process();
    println!("request {id} at {entry}: {}", history.outcome().name());
    for line in &explanation.entry_lines {
        println!("  {:>7} ms believed  {}", at(line), line.text());
    }
    for line in history.lines() {
        println!("  {:>7} ms request   {}", at(line), line.text());
    }
    for line in &explanation.agent_lines {
        // Clocks of instances differ.
        let at = line.wall_ms() as i64 - history.lines()[0].wall_ms() as i64;
        println!(" ~{at:>7} ms {} {}", line.process(), line.text());
    }
    println!("  cause: {}", explanation.cause);
}
