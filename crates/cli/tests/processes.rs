//! End-to-end tests over separate processes, some of which are killed,
//! paused or stopped by a signal.

mod support;

use std::time::Duration;

use stairhinge::Ran;
use stairhinge_local::{Answer, Caller, Plan, until};

use support::Fleet;

fn plan() -> Plan {
    Plan {
        halls: 2,
        replicas: 4,
        size: 256 << 10,
        chunk: 16 << 10,
        ..Plan::default()
    }
}

async fn chat(fleet: &Fleet, hall: usize, caller: &Caller) -> Answer {
    caller.chat(&fleet.client, fleet.entry(hall), "matcher").await
}

/// Returns a request that must not be repeated, with an idempotency key.
fn keyed(i: usize) -> Caller {
    let prompt = format!("letter {i}");
    Caller::new(&prompt).once(Some(&format!("letter-{i}"))).whole()
}

/// Sends keyed requests until one is answered. After its start a guard
/// refuses keys until all grants from before the start have expired.
async fn wait_for_guards(fleet: &Fleet) {
    let mut sent = 0;
    until("a guard grants keys", async || {
        sent += 1;
        chat(fleet, 0, &keyed(sent)).await.good()
    })
    .await;
}

/// Waits until the replicas serve a version and all entries answer.
async fn wait_until_serving(fleet: &Fleet, version: &str, replicas: &[usize]) {
    until(version, async || {
        for r in replicas {
            if fleet.version(*r).await != version {
                return false;
            }
        }
        true
    })
    .await;
    for hall in 0..fleet.plan.halls {
        until("the entry answers", async || {
            chat(fleet, hall, &Caller::new("warm")).await.good()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_answer_from_the_start_on_though_they_came_up_late() {
    let pause = Duration::from_millis(300);
    let fleet = Fleet::start_with_paused_engines(plan(), pause).await;
    for r in 0..4 {
        fleet.version(r).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_through_separate_programs_and_a_switch() {
    let mut fleet = Fleet::start(plan()).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    let whole = chat(&fleet, 0, &Caller::new("a").whole()).await;
    assert!(whole.good() && whole.content.starts_with("v1/"), "{whole:?}");
    let call = Caller::new("notice");
    let entry = fleet.entry(1);
    until("the service answers", async || {
        call.service(&fleet.client, entry, "archive").await.good()
    })
    .await;
    fleet.publish("v2", 2).await;
    let mut versions = std::collections::HashSet::new();
    until("all on v2", async || {
        for hall in 0..2 {
            let answer = chat(&fleet, hall, &Caller::new("b")).await;
            assert!(answer.good(), "{answer:?}");
            let (version, _) = answer.version().expect("one version");
            versions.insert(version);
        }
        let mut held = 0;
        for r in 0..4 {
            held += usize::from(fleet.version(r).await == "v2");
        }
        held == 4
    })
    .await;
    let last = chat(&fleet, 0, &Caller::new("c")).await;
    assert!(last.content.starts_with("v2/"), "{last:?}");
    for proc in fleet.entries.iter_mut().chain(&mut fleet.agents) {
        proc.signal("-TERM");
    }
    for proc in fleet.entries.iter_mut().chain(&mut fleet.agents) {
        assert!(proc.wait().await.success());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_wakes_and_serves_nothing_old() {
    let mut fleet = Fleet::start(plan()).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    fleet.agents[0].signal("-STOP");
    fleet.publish("v2", 2).await;
    wait_until_serving(&fleet, "v2", &[1, 2, 3]).await;
    fleet.agents[0].signal("-CONT");
    for i in 0..60 {
        let caller = Caller::new(format!("woken {i}"));
        let answer = chat(&fleet, i % 2, &caller).await;
        assert!(answer.good(), "{answer:?}");
        let (version, _) = answer.version().expect("one version");
        assert_eq!(version, "v2");
    }
    wait_until_serving(&fleet, "v2", &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_is_a_plain_may_have_run_at_once() {
    let mut fleet =
        Fleet::start(Plan { halls: 1, replicas: 1, ..plan() }).await;
    wait_until_serving(&fleet, "v1", &[0]).await;
    let long = Caller::new("long").once(None).with_tokens(2_000).whole();
    let entry = fleet.entry(0);
    let client = fleet.client.clone();
    let call =
        tokio::spawn(
            async move { long.chat(&client, entry, "matcher").await },
        );
    until("it runs", async || fleet.runs("long").await == 1).await;
    fleet.agents[0].signal("-KILL");
    let answer = call.await.unwrap();
    assert_eq!(answer.ran, Some(Ran::MayHaveRun), "{answer:?}");
    assert_eq!(answer.status, 502, "{answer:?}");
    fleet.agents[0].wait().await;
    // The new agent finds the version loaded and goes on with that engine.
    fleet.agents[0] = fleet.start_agent(0);
    wait_until_serving(&fleet, "v1", &[0]).await;
    assert_eq!(fleet.runs("long").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_is_not_waited_for_longer_than_the_deadline() {
    let fleet = Fleet::start(plan()).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    // The entry must have reached both agents of its hall. It sends nothing
    // to an agent that it never reached, and would correctly answer that
    // the request didn't run.
    let mut met = 0;
    until("the entry has reached both agents", async || {
        met += 1;
        chat(&fleet, 0, &Caller::new(format!("met {met}"))).await;
        let mut both = true;
        for r in [0, 2] {
            let records = fleet.records(r).await;
            both &= records.iter().any(|x| x.prompt.starts_with("met "));
        }
        both
    })
    .await;
    for agent in &fleet.agents {
        agent.signal("-STOP");
    }
    let caller = Caller::new("frozen").once(None);
    let caller = Caller { deadline: Some(Duration::from_secs(1)), ..caller };
    let answer = chat(&fleet, 0, &caller).await;
    assert_eq!(answer.ran, Some(Ran::MayHaveRun), "{answer:?}");
    for agent in &fleet.agents {
        agent.signal("-CONT");
    }
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    // The request waited in the socket buffer of the paused agent; it may
    // run now, but only once.
    assert!(fleet.runs("frozen").await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_wakes_and_doubles_nothing() {
    // The key window is longer than the pause; after the window a key may
    // run again.
    let fleet = Fleet::start(Plan { key_window_s: 15, ..plan() }).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    wait_for_guards(&fleet).await;
    let mut tasks = Vec::new();
    for i in 1_000..1_040 {
        let (client, entry) = (fleet.client.clone(), fleet.entry(0));
        let caller = keyed(i);
        tasks.push(tokio::spawn(async move {
            caller.chat(&client, entry, "matcher").await
        }));
    }
    // The pause hits the requests at any stage: before the claim of the key,
    // after it, or after they were sent.
    fleet.entries[0].signal("-STOP");
    for i in 1_000..1_040 {
        chat(&fleet, 1, &keyed(i)).await;
    }
    fleet.entries[0].signal("-CONT");
    for task in tasks {
        task.await.unwrap();
    }
    for i in 1_000..1_040 {
        let runs = fleet.runs(&format!("letter {i}")).await;
        assert!(runs <= 1, "letter {i} ran {runs} times");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_guard_grants_nothing_until_it_is_safe() {
    let mut fleet = Fleet::start(Plan { key_window_s: 10, ..plan() }).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    wait_for_guards(&fleet).await;
    let mut ran = Vec::new();
    for i in 1_000..1_030 {
        if chat(&fleet, 0, &keyed(i)).await.good() {
            ran.push(i);
        }
    }
    for r in [0, 3] {
        fleet.agents[r].signal("-KILL");
        fleet.agents[r].wait().await;
        fleet.agents[r] = fleet.start_agent(r);
    }
    let mut refused_by_restarted = 0;
    for i in &ran {
        let again = chat(&fleet, 1, &keyed(*i)).await;
        assert!(!again.good(), "letter {i}: {again:?}");
        refused_by_restarted += usize::from(again.code == 3006);
    }
    println!(
        "{refused_by_restarted} of {} refused by a restarted guard",
        ran.len()
    );
    for i in ran {
        assert_eq!(fleet.runs(&format!("letter {i}")).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_by_signal_cuts_no_request() {
    let mut fleet = Fleet::start(plan()).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    let mut tasks = Vec::new();
    for i in 0..24 {
        let (client, entry) = (fleet.client.clone(), fleet.entry(i % 2));
        let caller = Caller::new(format!("s {i}")).with_tokens(100);
        tasks.push(tokio::spawn(async move {
            caller.chat(&client, entry, "matcher").await
        }));
    }
    until("all run", async || {
        let mut runs = 0;
        for r in 0..4 {
            let records = fleet.records(r).await;
            runs +=
                records.iter().filter(|x| x.prompt.starts_with("s ")).count();
        }
        runs >= 24
    })
    .await;
    fleet.agents[0].signal("-TERM");
    fleet.agents[3].signal("-TERM");
    fleet.entries[1].signal("-TERM");
    for task in tasks {
        let answer = task.await.unwrap();
        assert!(answer.good(), "{answer:?}");
    }
    assert!(fleet.agents[0].wait().await.success());
    assert!(fleet.agents[3].wait().await.success());
    assert!(fleet.entries[1].wait().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn status_timeline_and_drain_work_on_processes() {
    let fleet = Fleet::start(plan()).await;
    wait_until_serving(&fleet, "v1", &[0, 1, 2, 3]).await;
    let program = env!("CARGO_BIN_EXE_stairhinge");
    let at = fleet.addr(8200).to_string();
    let run = |args: &[&str]| {
        let out = std::process::Command::new(program).args(args).output();
        String::from_utf8_lossy(&out.unwrap().stdout).into_owned()
    };
    until("status shows both halls", async || {
        let output = run(&["status", "--at", &at, "--instances"]);
        output.contains("matcher v1 hall-0: 2 serving")
            && output.contains("matcher v1 hall-1: 2 serving")
    })
    .await;
    let output = run(&["explain", "v1", "agent-0-0", "--at", &at]);
    assert!(output.contains("100.0 % here"), "{output}");
    let output = run(&["drain", "agent-0-0", "--at", &at, "--based-on", "0"]);
    assert!(output.contains("2008"), "{output}");
    let output = run(&["drain", "agent-0-0", "--at", &at]);
    assert!(output.contains("leaves"), "{output}");
    let logs: Vec<_> =
        fleet.agents.iter().map(|p| p.log.display().to_string()).collect();
    let svg = std::env::temp_dir().join(format!("{at}.svg"));
    let svg = svg.display().to_string();
    let mut args = vec!["timeline", "--svg", &svg];
    args.extend(logs.iter().map(String::as_str));
    let output = run(&args);
    assert!(output.contains("agent-0-0 serving.leaving"), "{output}");
    let picture = std::fs::read_to_string(&svg).unwrap();
    std::fs::remove_file(&svg).unwrap();
    assert!(picture.starts_with("<svg") && picture.contains("agent-1-1"));
}
