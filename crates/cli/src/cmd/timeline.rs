//! `stairhinge timeline`: the events of many processes in one order.

use std::path::PathBuf;

use argh::FromArgs;
use stairhinge::Clock;
use stairhinge::event::{Event, Filter, merge, render_svg};

/// merge the logs of many processes into one causal time line
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Args {
    /// log files (JSON lines); lines that are no events are passed over
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// only events of a request, by part of its attempt or key
    #[argh(option)]
    request: Option<String>,
    /// only events of a version
    #[argh(option)]
    version: Option<String>,
    /// only events of an instance
    #[argh(option)]
    instance: Option<String>,
    /// also draw it as a picture (SVG)
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Runs the command.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let mut events = Vec::new();
    let mut passed = 0;
    for path in &args.files {
        for line in std::fs::read_to_string(path)?.lines() {
            match Event::parse(line) {
                Ok(event) => events.push(event),
                Err(_) => passed += 1,
            }
        }
    }
    let filter = Filter {
        request: args.request.clone(),
        version: args.version.clone(),
        instance: args.instance.clone(),
    };
    let events = merge(events, &filter);
    let from = events.first().map_or(0, |e| Clock::wall(e.clock));
    for event in &events {
        let at = Clock::wall(event.clock) - from;
        print!("{at:>8} ms {} {}", event.instance, event.event);
        for (name, value) in &event.fields {
            print!(" {name}={value}");
        }
        println!();
    }
    eprintln!("{} events, {passed} other lines", events.len());
    if let Some(path) = &args.svg {
        std::fs::write(path, render_svg(&events))?;
    }
    Ok(true)
}
