//! Engines behind agents that answer without end.
//!
//! Guards against an entry that relays such an answer until its caller leaves:
//! the place at the engine is never free again.

use std::time::{Duration, Instant};

use stairhinge_local::{Caller, Plan, Trial, until};
use stairhinge_shell::http::Client;

const DEADLINE: Duration = Duration::from_secs(2);

/// How long after the deadline an answer may be delivered late.
const LATE: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_is_cut_and_its_place_is_free_again() {
    let plan = Plan { halls: 1, replicas: 2, ..Plan::default() };
    let trial = Trial::start(plan).await.unwrap();
    let client = Client::new();
    let addr = trial.local.entries()[0];
    let engines = trial.local.engines();
    let stream = Caller { deadline: Some(DEADLINE), ..Caller::new("long") };
    for caller in [stream.clone(), stream.clone().whole()] {
        assert!(caller.chat(&client, addr, "matcher").await.good());
        engines.iter().for_each(|engine| engine.set_endless(true));
        let begun = Instant::now();
        let call = caller.chat(&client, addr, "matcher");
        let answer = tokio::time::timeout(DEADLINE + LATE, call).await;
        let answer = answer.expect("the caller is not answered in time");
        assert!(!answer.good(), "{answer:?}");
        until("all places are free", async || {
            engines.iter().all(|engine| engine.load() == (0, 0))
        })
        .await;
        let took = begun.elapsed();
        assert!(took <= DEADLINE + LATE, "{took:?}");
        engines.iter().for_each(|engine| engine.set_endless(false));
    }
    assert!(stream.chat(&client, addr, "matcher").await.good());
}
