//! An engine that stands still and goes on costs callers time, and single
//! connections that fall silent for good cost no service.

use std::time::{Duration, Instant};

use stairhinge_local::{Caller, Plan, Trial, until};
use stairhinge_shell::http::Client;

/// Shorter than a caller's patience; sound engines may be silent as long.
const STILL: Duration = Duration::from_millis(1_500);

/// Within which silent connections are to be noticed and replaced.
const REPLACED: Duration = Duration::from_secs(10);

fn plan() -> Plan {
    Plan { halls: 1, replicas: 2, ..Plan::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_a_standstill_of_its_engine() {
    let trial = Trial::start(plan()).await.unwrap();
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let caller = Caller::new("long").with_tokens(60).once(None);
    let call = {
        let client = client.clone();
        tokio::spawn(
            async move { caller.chat(&client, addr, "matcher").await },
        )
    };
    until("it runs", async || trial.runs("long") == 1).await;
    for engine in trial.local.engines() {
        engine.stand_still(STILL);
    }
    let answer = call.await.unwrap();
    assert!(answer.good(), "{answer:?}");
    assert!(answer.last >= STILL, "it ran on: {answer:?}");
    assert_eq!(trial.runs("long"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_engines_are_replaced() {
    let trial = Trial::start(plan()).await.unwrap();
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let answer = Caller::new("before").chat(&client, addr, "matcher").await;
    assert!(answer.good(), "{answer:?}");
    let mut silent = 0;
    for engine in trial.local.engines() {
        silent += engine.silence_open(1.0);
    }
    assert!(silent > 0);
    let from = Instant::now();
    let mut count = 0;
    loop {
        count += 1;
        let caller = Caller::new(format!("after {count}"));
        let answer = caller.chat(&client, addr, "matcher").await;
        if answer.good() {
            break;
        }
        assert!(from.elapsed() < REPLACED, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(from.elapsed() < REPLACED);
}
