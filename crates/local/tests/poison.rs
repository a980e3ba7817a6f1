//! A request that ends each engine that runs it, through agents.
//!
//! The entries of this fleet do not reach engines: agents do, and stay while
//! their engine ends. What callers would see, without a memory of requests, is
//! that each try of such a request costs as many engines as the entry may try,
//! at every entry, for as long as the caller comes back.

use std::time::Duration;

use stairhinge::Ran;
use stairhinge::poison::PoisonRecord;
use stairhinge_local::{Answer, Caller, Plan, Trial};
use stairhinge_shell::control::PoisonUpdate;
use stairhinge_shell::http::{Client, full, headers};

/// The engines that a request may end before all know of it: three, and those
/// that it was on its way to.
const MOST_ENDS: u32 = 4;

/// The engines that requests with one part may end: fewer than ten.
const MAX_PART_ENDS: u32 = 9;

/// Names a request.
const REQUEST: &str = "0123456789abcdef0123456789abcdef";

const LONG: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    Plan { halls: 2, replicas: 6, entries: 2, ..Plan::default() }
}

async fn start(poison: &str) -> Trial {
    let trial = Trial::start(plan()).await.unwrap();
    for engine in trial.local.engines() {
        engine.end_under(poison);
    }
    trial
}

fn ends(trial: &Trial) -> u32 {
    trial.local.engines().iter().map(|engine| engine.ends()).sum()
}

/// Sends a request to one entry after the other until it is refused as one
/// that ends engines, or `most` times.
async fn repeat(trial: &Trial, caller: &Caller, most: usize) -> Answer {
    let client = Client::new();
    let mut last = None;
    for turn in 0..most {
        let entries = trial.local.entries();
        let addr = entries[turn % entries.len()];
        let answer = caller.chat(&client, addr, "matcher").await;
        let refused = answer.code == 3020;
        last = Some(answer);
        if refused {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    last.unwrap()
}

async fn each_entry_refuses(trial: &Trial, caller: &Caller) {
    let client = Client::new();
    for addr in trial.local.entries() {
        let answer = caller.chat(&client, addr, "matcher").await;
        assert_eq!(answer.code, 3020, "{answer:?}");
        assert_eq!(answer.ran, Some(Ran::DidNotRun), "{answer:?}");
        assert!(answer.back.is_some_and(|s| s > 60), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_engines_is_refused_by_all_entries() {
    for caller in [Caller::new("bad"), Caller::new("bad").whole()] {
        let trial = start("bad").await;
        let last = repeat(&trial, &caller, 20).await;
        assert_eq!(last.code, 3020, "{last:?}, {} ends", ends(&trial));
        tokio::time::sleep(Duration::from_secs(1)).await;
        each_entry_refuses(&trial, &caller).await;
        assert!(ends(&trial) <= MOST_ENDS, "{} ends", ends(&trial));
        // Others go on.
        assert!(trial.local.await_live("v1", 6, LONG).await);
        let sound = Caller::new("good");
        assert!(repeat(&trial, &sound, 1).await.good());
    }
}

/// Guards against one last run before quarantine at each of the entries to
/// which callers come back at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_run_before_quarantine_is_one_behind_agents() {
    let plan = Plan { entries: 4, ..plan() };
    let trial = Trial::start(plan).await.unwrap();
    for engine in trial.local.engines() {
        engine.end_under("bad");
    }
    let client = Client::new();
    let entries = trial.local.entries();
    let caller = Caller::new("bad").once(None).whole();
    for (known, addr) in entries.iter().enumerate().take(2) {
        caller.chat(&client, *addr, "matcher").await;
        assert_eq!(ends(&trial), known as u32 + 1);
        assert!(trial.local.await_live("v1", 6, LONG).await);
    }
    // Exits of others could still become known.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = entries.iter().map(|addr| {
        let (caller, client) = (&caller, &client);
        async move { caller.chat(client, *addr, "matcher").await }
    });
    let answers = futures::future::join_all(calls).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(ends(&trial), 3, "{answers:?}");
    each_entry_refuses(&trial, &caller).await;
}

/// Guards against entries that recognise requests only whole, and agents that
/// keep to themselves what crashed their engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_ends_engines_is_refused_by_all_entries() {
    for whole in [false, true] {
        let trial = Trial::start(plan()).await.unwrap();
        for engine in trial.local.engines() {
            engine.end_under_word("bad");
        }
        let client = Client::new();
        let entries = trial.local.entries();
        let caller = |name: String, parts: &[&str]| {
            let caller = Caller::new(name).with_parts(parts);
            if whole { caller.whole() } else { caller }
        };
        for turn in 0..120 {
            let addr = entries[turn % entries.len()];
            let sound = caller(format!("sound{turn}"), &["first", "next"]);
            let bad = caller(format!("r{turn}"), &["first", "bad"]);
            let (sound, bad) = tokio::join!(
                sound.chat(&client, addr, "matcher"),
                bad.chat(&client, addr, "matcher"),
            );
            assert_ne!(sound.code, 3020, "{sound:?}");
            // Two trials come within the first seconds.
            if bad.code == 3020 && bad.back.is_some_and(|s| s > 60) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        println!("{} ends", ends(&trial));
        // Three it takes; each request may go to a second engine, and others
        // may be on their way.
        assert!(ends(&trial) <= MAX_PART_ENDS, "{} ends", ends(&trial));
        tokio::time::sleep(Duration::from_secs(1)).await;
        each_entry_refuses(&trial, &caller("n".into(), &["bad"])).await;
        let other = caller("other".into(), &["bad", "other"]);
        each_entry_refuses(&trial, &other).await;
        assert!(trial.local.await_live("v1", 6, LONG).await);
        let sound = caller("good".into(), &["first"]);
        assert!(repeat(&trial, &sound, 1).await.good());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_while_engines_end_by_themselves_is_served() {
    let trial = Trial::start(plan()).await.unwrap();
    let client = Client::new();
    let caller = Caller::new("hot").with_tokens(40);
    for round in 0..4 {
        let entries = trial.local.entries();
        let calls = (0..12).map(|i| {
            caller.chat(&client, entries[i % entries.len()], "matcher")
        });
        let calls = futures::future::join_all(calls);
        let end = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            for engine in trial.local.engines().iter().skip(round % 2) {
                engine.end();
            }
        };
        let (answers, ()) = tokio::join!(calls, end);
        let held = answers.iter().filter(|a| a.code == 3020).count();
        assert_eq!(held, 0, "round {round}: {answers:?}");
        assert!(trial.local.await_live("v1", 6, LONG).await);
    }
    let last = caller.chat(&client, trial.local.entries()[0], "matcher");
    assert!(last.await.good());
}

/// Guards against quarantine of a harmless request whose callers are all cut
/// off in several rounds, because all engines end together each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_although_all_engines_end_together_repeatedly() {
    let trial = Trial::start(plan()).await.unwrap();
    let client = Client::new();
    let caller = Caller::new("hot").with_tokens(40);
    for round in 0..5 {
        let entries = trial.local.entries();
        let calls = (0..12).map(|i| {
            caller.chat(&client, entries[i % entries.len()], "matcher")
        });
        let calls = futures::future::join_all(calls);
        let end = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            for engine in trial.local.engines() {
                engine.end();
            }
        };
        let (answers, ()) = tokio::join!(calls, end);
        let refused = answers.iter().filter(|a| a.code == 3020).count();
        assert_eq!(refused, 0, "round {round}: {answers:?}");
        assert!(trial.local.await_live("v1", 6, LONG).await);
    }
    let last = caller.chat(&client, trial.local.entries()[0], "matcher");
    assert!(last.await.good());
}

/// Sends a request straight to an agent, as an entry does that knows so much
/// of it, and returns the code of its answer; 0 is the engine's.
async fn at_agent(trial: &mut Trial, attempt: &str, suspicion: &str) -> u64 {
    let report = trial.local.report("agent-0-0").await.unwrap();
    let addr = trial.local.member("agent-0-0").http();
    let request = hyper::Request::post("/v1/chat/completions")
        .header(headers::ATTEMPT, attempt)
        .header(headers::INCARNATION, report.incarnation)
        .header(headers::REVISION, trial.local.revision())
        .header(headers::MODEL, "matcher")
        .header(headers::FINGERPRINT, REQUEST)
        .header(headers::SUSPICION, suspicion)
        .body(full("{\"messages\":[{\"content\":\"direct\"}]}"))
        .unwrap();
    let sent = Client::new().send(addr, request, LONG).await.unwrap();
    let code = sent.headers().get(headers::CODE);
    code.map_or(0, |code| code.to_str().unwrap().parse().unwrap())
}

/// The entry decides on a trial: its agent, which knows no more than that the
/// request is quarantined, lets it through, and refuses who has not heard.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_an_entry_admits_reaches_the_engine() {
    let plan = Plan { halls: 1, replicas: 1, ..Plan::default() };
    let mut trial = Trial::start(plan).await.unwrap();
    let control = trial.local.member("agent-0-0").control();
    let record = PoisonRecord {
        request: REQUEST.parse().unwrap(),
        suspicion: "0.3.0".parse().unwrap(),
        age_ms: 0,
        replicas: Vec::new(),
    };
    let told = PoisonUpdate {
        digest: 0,
        records: vec![record],
        ..PoisonUpdate::default()
    };
    trial.local.wire().poison(control, LONG, told).await.unwrap();
    assert_eq!(at_agent(&mut trial, "a.1.1", "0.0.0").await, 3020);
    assert_eq!(at_agent(&mut trial, "a.1.2", "0.3.1").await, 0);
}

/// Guards against an answer without a length or chunks that ends as its engine
/// does and is passed on as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_that_ends_as_its_engine_does_is_not_passed_on() {
    let trial = Trial::start(plan()).await.unwrap();
    for engine in trial.local.engines() {
        engine.set_unframed(true);
    }
    let client = Client::new();
    let entries = trial.local.entries();
    let sound = Caller::new("sound").whole();
    assert!(repeat(&trial, &sound, 1).await.good());
    trial.local.engines()[0].end_under_word("bad");
    trial.local.engines()[1].end_under_word("bad");
    for turn in 0..12 {
        let caller = Caller::new(format!("bad {turn}")).whole();
        let addr = entries[turn % entries.len()];
        let answer = caller.chat(&client, addr, "matcher").await;
        let is_cut = answer.good() && answer.content.is_empty();
        assert!(!is_cut, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(ends(&trial) > 0);
}

/// Guards against an entry that sends a quarantined request because it has just
/// started and takes requests before it has asked its peers.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_behind_agents_runs_no_quarantined_request() {
    let mut trial = start("bad").await;
    let caller = Caller::new("bad").once(None).whole();
    let last = repeat(&trial, &caller, 20).await;
    assert_eq!(last.code, 3020, "{last:?}, {} ends", ends(&trial));
    assert!(trial.local.await_live("v1", 6, LONG).await);
    let before = ends(&trial);
    let client = Client::new();
    let entry = trial.local.entries()[0];
    for _ in 0..5 {
        trial.local.kill("entry-0-0");
        trial.local.restart("entry-0-0").unwrap();
        let refused = async {
            while caller.chat(&client, entry, "matcher").await.code != 3020 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let refused = tokio::time::timeout(LONG, refused).await;
        assert!(refused.is_ok(), "never refused");
    }
    assert_eq!(ends(&trial), before, "more engines have ended");
}

/// Guards against a hall whose entry and agents start together, take requests
/// before they have asked their peers, and run a quarantined one.
#[tokio::test(flavor = "multi_thread")]
async fn a_hall_that_starts_behind_agents_runs_no_quarantined_request() {
    let mut trial = start("bad").await;
    let caller = Caller::new("bad").once(None).whole();
    let last = repeat(&trial, &caller, 20).await;
    assert_eq!(last.code, 3020, "{last:?}, {} ends", ends(&trial));
    assert!(trial.local.await_live("v1", 6, LONG).await);
    let before = ends(&trial);
    let client = Client::new();
    let entry = trial.local.entries()[0];
    let mut names: Vec<_> = trial.local.agents();
    names.push("entry-0-0".into());
    for name in &names {
        trial.local.kill(name);
    }
    for name in &names {
        trial.local.restart(name).unwrap();
    }
    let end = std::time::Instant::now() + Duration::from_secs(20);
    let mut seen = Vec::new();
    while std::time::Instant::now() < end {
        let answer = caller.chat(&client, entry, "matcher").await;
        seen.push(answer.code);
        if answer.code == 3020 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    seen.dedup();
    assert_eq!(ends(&trial), before, "{seen:?}");
    assert_eq!(seen.last(), Some(&3020), "{seen:?}");
}
