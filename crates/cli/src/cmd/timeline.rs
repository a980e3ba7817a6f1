//! `stairhinge timeline`: merges the events of many processes in causal
//! order.

use std::path::PathBuf;

use argh::FromArgs;
use stairhinge::Clock;
use stairhinge::event::{Event, Filter, merge, render_svg};

/// merge the logs of many processes into one causal time line
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Args {
    /// log files (JSON lines); lines that aren't events are skipped
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// only events of a request, given a part of its attempt id or key
    #[argh(option)]
    request: Option<String>,
    /// only events of a version
    #[argh(option)]
    version: Option<String>,
    /// only events of an instance
    #[argh(option)]
    instance: Option<String>,
    /// also write the time line to this file as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Runs the command.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut events = Vec::new();
    let mut skipped = 0;
    for path in &args.files {
        for line in std::fs::read_to_string(path)?.lines() {
            match Event::parse(line) {
                Ok(event) => events.push(event),
                Err(_) => skipped += 1,
            }
        }
    }
    let filter = Filter {
        request: args.request.clone(),
        version: args.version.clone(),
        instance: args.instance.clone(),
    };
    let events = merge(events, &filter);
    let start = events.first().map_or(0, |e| Clock::wall(e.clock));
    for event in &events {
        let at = Clock::wall(event.clock) - start;
        print!("{at:>8} ms {} {}", event.instance, event.event);
        for (name, value) in &event.fields {
            print!(" {name}={value}");
        }
        println!();
    }
    eprintln!("{} events, {skipped} other lines skipped", events.len());
    if let Some(path) = &args.svg {
        std::fs::write(path, render_svg(&events))?;
    }
    Ok(true)
}
