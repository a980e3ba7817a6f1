//! `stairhinge status`: where does each version stand?

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use stairhinge_shell::control::{Report, Wire};

use super::WITHIN;

/// show where each version stands in each data hall
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// control address of any entry or agent; give one of each hall to see
    /// all halls freshly
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// show each instance too
    #[argh(switch)]
    instances: bool,
}

/// Counts of one version in one hall.
#[derive(Default)]
struct Row {
    states: BTreeMap<Arc<str>, usize>,
    share: u32,
    rate: u32,
    stuck: Vec<String>,
}

/// Runs the command; not well if something is stuck.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let wire = Wire::start()?;
    let mut reports: BTreeMap<Arc<str>, Report> = BTreeMap::new();
    for addr in &args.at {
        for report in wire.status(*addr, WITHIN).await? {
            let known = reports.get(&report.name);
            if known.is_none_or(|k| k.clock < report.clock) {
                reports.insert(Arc::clone(&report.name), report);
            }
        }
    }
    let good = show(reports.values());
    if args.instances {
        for report in reports.values() {
            instance(report);
        }
    }
    Ok(good)
}

fn show<'a>(reports: impl Iterator<Item = &'a Report>) -> bool {
    let mut rows: BTreeMap<[Arc<str>; 3], Row> = BTreeMap::new();
    for report in reports {
        if report.model.is_empty() {
            continue;
        }
        let key = [&report.model, &report.version, &report.hall];
        let row = rows.entry(key.map(Arc::clone)).or_default();
        *row.states.entry(Arc::clone(&report.state)).or_default() += 1;
        if *report.state == *"fetching" {
            row.share += report.share;
            row.rate += report.rate;
        }
        if let Some(code) = report.stuck {
            row.stuck.push(format!(
                "{}: {code} {}",
                report.name,
                code.meaning()
            ));
        }
    }
    let mut good = true;
    for ([model, version, hall], row) in &rows {
        print!("{model} {version} {hall}:");
        for (state, count) in &row.states {
            print!(" {count} {state}");
        }
        if let Some(count) = row.states.get("fetching") {
            let share = f64::from(row.share) / 10.0 / *count as f64;
            print!(" ({share:.0} % here, {} KB/s)", row.rate);
        }
        println!();
        for line in &row.stuck {
            println!("  stuck: {line}");
            good = false;
        }
    }
    good
}

fn instance(report: &Report) {
    println!(
        "{} {} revision {} {} {} {} load {}",
        report.name,
        report.hall,
        report.config.revision(),
        report.state,
        report.model,
        report.version,
        report.load
    );
}
