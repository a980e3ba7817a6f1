//! `stairhinge status`: shows the rollout state of each version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use stairhinge_shell::control::{Report, Wire};

use super::CONTROL_TIMEOUT;

/// show the rollout state of each version in each data hall
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// control address of any entry or agent; give one in each data hall for
    /// up-to-date reports of all
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// also show each instance
    #[argh(switch)]
    instances: bool,
}

/// State of one version in one data hall.
#[derive(Default)]
struct VersionState {
    /// Number of instances by state.
    states: BTreeMap<Arc<str>, usize>,
    /// Sum of the shares of chunks held by fetching instances, per mille.
    share: u32,
    /// Sum of their fetch rates, KB/s.
    rate: u32,
    /// What holds up instances, one line each.
    stuck: Vec<String>,
}

/// Runs the command; returns `false` if an instance is stuck.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    let wire = Wire::start()?;
    let mut reports: BTreeMap<Arc<str>, Report> = BTreeMap::new();
    for addr in &args.at {
        for report in wire.status(*addr, CONTROL_TIMEOUT).await? {
            let newest = reports.get(&report.name);
            if newest.is_none_or(|r| r.clock < report.clock) {
                reports.insert(Arc::clone(&report.name), report);
            }
        }
    }
    let none_stuck = print_versions(reports.values());
    if args.instances {
        for report in reports.values() {
            print_instance(report);
        }
    }
    Ok(none_stuck)
}

/// Prints a line for each version in each hall, and returns whether no
/// instance is stuck.
fn print_versions<'a>(reports: impl Iterator<Item = &'a Report>) -> bool {
    let mut rows: BTreeMap<[Arc<str>; 3], VersionState> = BTreeMap::new();
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
    let mut none_stuck = true;
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
            none_stuck = false;
        }
    }
    none_stuck
}

fn print_instance(report: &Report) {
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
