//! A configuration once accepted is in force everywhere and never reverts.

use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::document::Kind;
use stairhinge_local::{Caller, Local, Plan, Trial};
use stairhinge_shell::http::Client;
use stairhinge_standins::Mode;

const LONG: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    Plan { halls: 3, replicas: 6, ..Plan::default() }
}

/// Waits until all processes have a revision; returns how long that took.
async fn everywhere(local: &Local, revision: u64, count: usize) -> Duration {
    let start = Instant::now();
    loop {
        let reports = local.reports().await;
        let there = reports.iter().filter(|r| r.config.revision() == revision);
        if there.count() == count {
            return start.elapsed();
        }
        assert!(start.elapsed() < LONG, "revision {revision}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Six agents, three services, three entries.
const ALL: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_everywhere_in_seconds_with_few_calls() {
    let mut trial = Trial::start(plan()).await.unwrap();
    let before = trial.local.platform().calls();
    let start = Instant::now();
    let changes = 5;
    for revision in 2..2 + changes {
        trial.local.serve("v1");
        let took = everywhere(&trial.local, revision, ALL).await;
        println!("revision {revision} everywhere after {took:?}");
    }
    let calls = trial.local.platform().calls() - before;
    // Two watchers in each of three halls, for two documents; each asks
    // again after a change and after a step of a second.
    let steps = start.elapsed().as_secs() + 2;
    let most = 3 * 2 * 2 * (changes + steps);
    assert!(calls <= most, "{calls} calls, at most {most} expected");
    assert_eq!(trial.local.platform().refused(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_process_that_has_it_is_enough_while_the_platform_is_down() {
    let mut trial = Trial::start(plan()).await.unwrap();
    trial.local.platform().set(Mode::Down);
    // Published while nobody can read it; then one restarted instance gets a
    // single answer.
    trial.local.serve("v1");
    trial.local.kill("agent-2-1");
    trial.local.platform().set(Mode::Well);
    trial.local.restart("agent-2-1").unwrap();
    let name = "agent-2-1";
    let start = Instant::now();
    loop {
        let report = trial.local.report(name).await;
        if report.is_ok_and(|r| r.config.revision() == 2) {
            break;
        }
        assert!(start.elapsed() < LONG);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    trial.local.platform().set(Mode::Down);
    everywhere(&trial.local, 2, ALL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_beside_a_stale_platform_brings_nothing_back() {
    let mut trial = Trial::start(plan()).await.unwrap();
    trial.local.serve("v1");
    everywhere(&trial.local, 2, ALL).await;
    trial.local.platform().stale_at(Kind::Config, 1);
    for name in ["agent-0-0", "entry-0-0", "agent-1-0"] {
        trial.local.kill(name);
        trial.local.restart(name).unwrap();
    }
    everywhere(&trial.local, 2, ALL).await;
    let reports = trial.local.reports().await;
    assert!(reports.iter().all(|r| r.config.revision() == 2));
    let client = Client::new();
    for addr in trial.local.entries() {
        let answer = Caller::new("x").chat(&client, addr, "matcher").await;
        assert!(answer.good(), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_alone_beside_a_stale_platform_waits() {
    let plan = Plan { halls: 1, replicas: 1, service: false, ..plan() };
    let mut trial = Trial::start(plan).await.unwrap();
    trial.local.serve("v1");
    let start = Instant::now();
    while trial.local.engines()[0].revision() < 2 {
        assert!(start.elapsed() < LONG, "the engine is not told");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    trial.local.platform().stale_at(Kind::Config, 1);
    // Nobody is left to hand it the newer one.
    trial.local.kill("entry-0-0");
    trial.local.kill("agent-0-0");
    let calls = trial.local.platform().calls();
    trial.local.restart("agent-0-0").unwrap();
    while trial.local.platform().calls() < calls + 6 {
        assert!(start.elapsed() < LONG, "the agent does not ask");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let report = loop {
        if let Ok(report) = trial.local.report("agent-0-0").await {
            break report;
        }
        assert!(start.elapsed() < LONG, "the agent does not answer");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(report.config.revision(), 0, "went back to the older one");
    trial.local.platform().set(Mode::Well);
    everywhere(&trial.local, 2, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_race_under_one_revision_has_one_winner_in_each_process() {
    let mut trial = Trial::start(plan()).await.unwrap();
    trial.local.serve("v1");
    everywhere(&trial.local, 2, ALL).await;
    let reports = trial.local.reports().await;
    let digest = reports[0].config.digest();
    // Another operator's bytes under the same revision.
    let other = format!("{}# other\n", trial.local.declaration());
    let platform = trial.local.platform();
    platform.publish(Kind::Config, 2, Bytes::from(other.clone()));
    trial.local.kill("agent-0-0");
    trial.local.restart("agent-0-0").unwrap();
    everywhere(&trial.local, 2, ALL).await;
    for report in trial.local.reports().await {
        if *report.name != *"agent-0-0" {
            assert_eq!(report.config.digest(), digest, "{}", report.name);
        }
    }
    // The next revision ends the race everywhere.
    trial.local.serve("v1");
    everywhere(&trial.local, 3, ALL).await;
    let reports = trial.local.reports().await;
    let digest = reports[0].config.digest();
    assert!(reports.iter().all(|r| r.config.digest() == digest));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_bytes_from_the_platform_change_nothing() {
    let trial = Trial::start(plan()).await.unwrap();
    let platform = trial.local.platform();
    platform.publish(Kind::Config, 9, Bytes::from("nonsense: ["));
    platform.publish(Kind::Listing, 9, Bytes::from("{"));
    let client = Client::new();
    let start = platform.calls();
    while platform.calls() < start + 6 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for report in trial.local.reports().await {
        assert_eq!(report.config.revision(), 1, "{}", report.name);
    }
    let addr = trial.local.entries()[0];
    let answer = Caller::new("x").chat(&client, addr, "matcher").await;
    assert!(answer.good(), "{answer:?}");
}
