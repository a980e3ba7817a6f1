//! No caller is answered from partial weights or a mix of versions, and each
//! gets the whole answer or a clear mark.

use std::time::Duration;

use stairhinge::Ran;
use stairhinge_local::{Caller, Plan, Trial, until};
use stairhinge_shell::http::Client;

const LONG: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    Plan { halls: 2, replicas: 4, ..Plan::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_chunks_are_refused_and_drawn_again() {
    let mut trial = Trial::start(plan()).await.unwrap();
    trial.local.origin().faults().corrupt(10);
    trial.publish("v2", 2).unwrap();
    assert!(trial.local.await_live("v2", 4, LONG).await);
    let client = Client::new();
    let addr = trial.local.entries()[0];
    for i in 0..8 {
        let caller = Caller::new(format!("c{i}"));
        let answer = caller.chat(&client, addr, "matcher").await;
        trial.calls.push((caller, answer));
    }
    let verdict = trial.verdict();
    assert_eq!((verdict.answered, verdict.mixed), (8, 0), "{verdict:?}");
    // One in ten of the origin's answers was corrupt, and was refused.
    let mut refused = 0;
    for addr in trial.local.agent_addrs() {
        let got = client.get(addr, "/metrics", 1 << 20, LONG).await;
        let text = String::from_utf8_lossy(&got.unwrap().2).into_owned();
        let name = "stairhinge_chunks_corrupt_total{source=\"origin\"} ";
        for line in text.lines() {
            let Some(count) = line.strip_prefix(name) else { continue };
            refused += count.parse::<u64>().unwrap();
        }
    }
    assert!(refused >= 3, "{refused} corrupt chunks refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_superseded_in_mid_copy_is_never_served() {
    let mut trial = Trial::start(plan()).await.unwrap();
    // The origin goes after half of v2, so v2 can never be whole.
    let origin = trial.local.origin().clone();
    let half = trial.local.plan().size as u64 / 2;
    origin.faults().quota(origin.sent() + half);
    trial.publish("v2", 2).unwrap();
    until("v2 is on its way", async || {
        let reports = trial.local.reports().await;
        reports.iter().any(|r| r.share > 0 && r.share < 1000)
    })
    .await;
    trial.publish("v3", 3).unwrap();
    origin.faults().quota(0);
    assert!(trial.local.await_live("v3", 4, LONG).await);
    for engine in trial.local.engines() {
        assert_eq!(engine.version(), "v3");
        assert_eq!(engine.loads(), 2, "v1, then v3, and nothing between");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_lost_its_weights_is_loaded_before_it_serves() {
    let mut trial = Trial::start(plan()).await.unwrap();
    for engine in trial.local.engines() {
        engine.forget();
    }
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let caller = Caller::new("after the loss");
    let answer = caller.chat(&client, addr, "matcher").await;
    assert!(answer.good(), "{answer:?}");
    trial.calls.push((caller, answer));
    assert_eq!(trial.verdict().mixed, 0);
    assert!(trial.local.await_live("v1", 4, LONG).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_no_fences_gives_no_wrong_answer() {
    let mut lax = plan();
    lax.engine.fences = false;
    let mut trial = Trial::start(lax).await.unwrap();
    // Somebody else orders the engines behind the agents' backs, without
    // weights: an old agent process, say.
    for engine in trial.local.engines() {
        engine.impose("v0");
    }
    let client = Client::new();
    let addr = trial.local.entries()[0];
    for i in 0..20 {
        let caller = Caller::new(format!("c{i}"));
        let answer = caller.chat(&client, addr, "matcher").await;
        assert!(!answer.content.contains("v0"), "{answer:?}");
        trial.calls.push((caller, answer));
    }
    assert_eq!(trial.verdict().mixed, 0);
    assert!(trial.local.await_live("v1", 4, LONG).await, "ordered anew");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_marked() {
    let trial = Trial::start(plan()).await.unwrap();
    let client = Client::new();
    let addr = trial.local.entries()[0];
    for engine in trial.local.engines() {
        engine.break_after(3);
    }
    let streamed = Caller::new("s").chat(&client, addr, "matcher").await;
    assert!(!streamed.whole && streamed.code == 3011, "{streamed:?}");
    assert_eq!(streamed.ran, Some(Ran::MayHaveRun));
    let once = Caller::new("w").whole().once(None);
    let whole = once.chat(&client, addr, "matcher").await;
    assert_eq!((whole.status, whole.code), (502, 3011), "{whole:?}");
    assert_eq!(trial.runs("w"), 1, "not tried again");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_work_of_a_caller_who_has_gone_is_cancelled() {
    let trial = Trial::start(Plan { halls: 1, replicas: 1, ..plan() });
    let trial = trial.await.unwrap();
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let long = Caller::new("long").with_tokens(2_000);
    let call = {
        let client = client.clone();
        tokio::spawn(async move { long.chat(&client, addr, "matcher").await })
    };
    until("it runs", async || trial.runs("long") == 1).await;
    call.abort();
    let _ = call.await;
    until("the engine is idle", async || {
        trial.local.engines()[0].load() == (0, 0)
    })
    .await;
    let records = trial.records();
    let record = records.iter().find(|r| r.prompt == "long").unwrap();
    assert!(!record.whole);
    // Connections left behind by the cancel answer nobody else.
    for i in 0..10 {
        let answer = Caller::new(format!("next {i}"))
            .chat(&client, addr, "matcher")
            .await;
        assert!(answer.good(), "{answer:?}");
        assert_eq!(answer.content.split_whitespace().count(), 8);
    }
}
