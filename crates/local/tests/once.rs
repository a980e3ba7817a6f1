//! What must not be repeated runs at most once, and "did not run" is true.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use stairhinge::Ran;
use stairhinge::document::Presence;
use stairhinge_local::{Answer, Caller, Plan, Trial, until};
use stairhinge_shell::http::{Client, full, headers};

const LONG: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    Plan { halls: 2, replicas: 4, key_window_s: 3, ..Plan::default() }
}

/// Sends a keyed request until its guard is no longer forgetful.
async fn granted(addr: SocketAddr, caller: &Caller) -> Answer {
    let client = Client::new();
    let end = tokio::time::Instant::now() + LONG;
    loop {
        let answer = caller.chat(&client, addr, "matcher").await;
        let forgot = answer.code == 3006 || answer.code == 3005;
        if !forgot || tokio::time::Instant::now() > end {
            return answer;
        }
        assert_eq!(answer.ran, Some(Ran::DidNotRun));
        assert!(answer.back.is_some(), "says when to come back");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_through_any_entry_of_any_hall() {
    let trial = Trial::start(plan()).await.unwrap();
    let entries = trial.local.entries();
    let caller = Caller::new("letter").once(Some("letter-1"));
    let first = granted(entries[0], &caller).await;
    assert!(first.good(), "{first:?}");
    let client = Client::new();
    for addr in &entries {
        let again = caller.chat(&client, *addr, "matcher").await;
        assert_eq!(again.status, 409, "{again:?}");
        assert_ne!(again.ran, Some(Ran::DidNotRun), "{again:?}");
    }
    assert_eq!(trial.runs("letter"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_sent_twice_at_once_runs_once() {
    let trial = Trial::start(plan()).await.unwrap();
    let entries = trial.local.entries();
    granted(entries[0], &Caller::new("warm").once(Some("warm"))).await;
    let mut probes = 0;
    until("all guards have come to", async || {
        let client = Client::new();
        let mut good = 0;
        for _ in 0..16 {
            probes += 1;
            let key = format!("probe-{probes}");
            let caller = Caller::new("probe").once(Some(&key));
            let answer = caller.chat(&client, entries[0], "matcher").await;
            good += u32::from(answer.good());
        }
        good == 16
    })
    .await;
    let client = Client::new();
    for i in 0..20 {
        let prompt = format!("notice {i}");
        let caller = Caller::new(&prompt).once(Some(&prompt));
        let caller = Caller { key: Some(format!("n-{i}")), ..caller };
        let (a, b) = tokio::join!(
            caller.chat(&client, entries[0], "matcher"),
            caller.chat(&client, entries[1], "matcher"),
        );
        let good = u32::from(a.good()) + u32::from(b.good());
        assert_eq!(good, 1, "{a:?} {b:?}");
        assert_eq!(trial.runs(&prompt), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_refused_after_its_guard_restarts() {
    let mut trial = Trial::start(plan()).await.unwrap();
    let entries = trial.local.entries();
    let caller = Caller::new("letter").once(Some("letter-1"));
    let first = granted(entries[0], &caller).await;
    assert!(first.good(), "{first:?}");
    // All of them restart, so the guard of the key does, whoever it is.
    let names = trial.local.agents();
    for name in &names {
        trial.local.kill(name);
    }
    for i in 0..2 {
        trial.local.kill(&format!("service-{i}"));
    }
    let client = Client::new();
    let none = caller.chat(&client, entries[1], "matcher").await;
    assert_eq!(none.ran, Some(Ran::DidNotRun), "{none:?}");
    for name in &names {
        trial.local.restart(name).unwrap();
    }
    for i in 0..2 {
        trial.local.restart(&format!("service-{i}")).unwrap();
    }
    let mut codes = Vec::new();
    until("the guards have come up", async || {
        let again = caller.chat(&client, entries[1], "matcher").await;
        assert!(!again.good(), "ran again within its window: {again:?}");
        codes.push(again.code);
        again.code == 3006
    })
    .await;
    assert_eq!(trial.runs("letter"), 1, "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_across_a_change_of_the_guards() {
    let trial = Trial::start(plan()).await;
    let mut trial = trial.unwrap();
    let entries = trial.local.entries();
    let mut callers = Vec::new();
    for i in 0..24 {
        let prompt = format!("letter {i}");
        let caller = Caller::new(&prompt).once(Some(&format!("k-{i}")));
        let answer = granted(entries[0], &caller).await;
        assert!(answer.good(), "{answer:?}");
        callers.push(caller);
    }
    // One backend server less: a part of the keys gets another guard.
    trial.local.undeclare("service-1");
    trial.settled().await.unwrap();
    let client = Client::new();
    for caller in &callers {
        for addr in &entries {
            caller.chat(&client, *addr, "matcher").await;
        }
        assert!(trial.runs(&caller.prompt) <= 1, "{}", caller.prompt);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_agents_double_nothing_and_lie_about_nothing() {
    let mut trial = Trial::start(plan()).await.unwrap();
    let entries = trial.local.entries();
    let client = Client::new();
    let mut tasks = Vec::new();
    for i in 0..120 {
        let client = client.clone();
        let addr = entries[i % entries.len()];
        let caller = Caller::new(format!("n {i}")).with_tokens(20);
        let caller =
            if i % 3 == 0 { caller } else { caller.once(None).whole() };
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(i as u64 * 5)).await;
            let answer = caller.chat(&client, addr, "matcher").await;
            (caller, answer)
        }));
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    trial.local.kill("agent-0-0");
    trial.local.kill("agent-1-0");
    tokio::time::sleep(Duration::from_millis(200)).await;
    trial.local.restart("agent-0-0").unwrap();
    for task in tasks {
        trial.calls.push(task.await.unwrap());
    }
    let verdict = trial.verdict();
    assert_eq!(verdict.requests, 120);
    assert_eq!(verdict.doubled, 0, "{verdict:?}");
    assert_eq!(verdict.lied, 0, "{verdict:?}");
    assert_eq!(verdict.mixed, 0, "{verdict:?}");
    assert_eq!(verdict.lost, 0, "{verdict:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_out_of_reach_is_a_true_did_not_run() {
    let trial = Trial::start(Plan { halls: 1, replicas: 1, ..plan() });
    let mut trial = trial.await.unwrap();
    trial.local.mark("agent-0-0", Presence::Leaving);
    until("the entry knows that it leaves", async || {
        let reports = trial.local.reports().await;
        reports.iter().all(|r| r.listing.revision() >= 2)
    })
    .await;
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let caller = Caller::new("x").once(None);
    let caller = Caller { deadline: Some(Duration::from_secs(1)), ..caller };
    let answer = caller.chat(&client, addr, "matcher").await;
    assert_eq!(answer.ran, Some(Ran::DidNotRun), "{answer:?}");
    assert!(answer.back.is_some());
    assert_eq!(trial.runs("x"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_lost_in_mid_run_is_a_may_have_run() {
    let trial = Trial::start(Plan {
        halls: 1,
        replicas: 2,
        agent: "engine_ms: 300\n".into(),
        ..plan()
    });
    let trial = trial.await.unwrap();
    for engine in trial.local.engines() {
        engine.freeze(true);
    }
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let caller = Caller::new("x").once(None);
    let answer = caller.chat(&client, addr, "matcher").await;
    assert_eq!(answer.ran, Some(Ran::MayHaveRun), "{answer:?}");
    for engine in trial.local.engines() {
        engine.freeze(false);
    }
    assert!(trial.local.await_live("v1", 2, LONG).await);
    assert!(trial.runs("x") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_admits_only_under_its_own_revision_and_incarnation() {
    let trial = Trial::start(Plan { halls: 1, replicas: 1, ..plan() });
    let mut trial = trial.await.unwrap();
    let report = trial.local.report("agent-0-0").await.unwrap();
    let (incarnation, revision) = (report.incarnation, 1);
    let addr = trial.local.member("agent-0-0").http();
    let client = Client::new();
    let table = [
        ("a.1.1", incarnation, revision + 1, "3014"),
        ("a.1.2", incarnation, revision - 1, "3014"),
        ("a.1.3", incarnation - 1, revision, "3014"),
        ("a.1.4", incarnation, revision, ""),
        ("a.1.4", incarnation, revision, "3009"),
    ];
    for (attempt, incarnation, revision, code) in table {
        let body = "{\"messages\":[{\"content\":\"direct\"}]}";
        let request = hyper::Request::post("/v1/chat/completions")
            .header(headers::ATTEMPT, attempt)
            .header(headers::INCARNATION, incarnation)
            .header(headers::REVISION, revision)
            .header(headers::MODEL, "matcher")
            .body(full(body))
            .unwrap();
        let response = client.send(addr, request, LONG).await.unwrap();
        let said = response.headers().get(headers::CODE);
        let said = said.map_or("", |v| v.to_str().unwrap());
        assert_eq!(said, code, "{attempt} {incarnation} {revision}");
        if !code.is_empty() {
            let ran = response.headers()[headers::RAN].to_str().unwrap();
            assert_eq!(ran, "did not run");
        }
    }
    assert_eq!(trial.runs("direct"), 1);
}

/// Guards against a status that no server gives: the caller would take it for
/// the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_above_599_reaches_no_caller() {
    let trial = Trial::start(plan()).await.unwrap();
    let entry = trial.local.entries()[0];
    let client = Client::new();
    let caller = Caller::new("notice").once(None);
    until("the service answers", async || {
        caller.service(&client, entry, "archive").await.status == 200
    })
    .await;
    for code in [600, 999] {
        let status = StatusCode::from_u16(code).unwrap();
        for service in trial.local.services() {
            service.answer_with(status);
        }
        let answer = caller.service(&client, entry, "archive").await;
        assert_eq!(answer.status, 502, "{code}: {answer:?}");
        assert_eq!(answer.ran, Some(Ran::MayHaveRun), "{answer:?}");
    }
}
