//! Causes from lines as processes write them.

use std::sync::Arc;

use super::{Cause, Explainer, Outcome};

fn read(lines: &[&str]) -> Explainer {
    let mut explainer = Explainer::new();
    let process = Arc::from("front-1");
    for line in lines {
        explainer.read_line(&process, line);
    }
    explainer
}

const START: &str = r#"{"wall":1000,"ms":0,"event":"start","role":"entry",
    "instance":"front-1","hall":"rivera"}"#;

const SENT: &str = r#"{"wall":1100,"ms":100,"event":"sent","request":"r1",
    "replica":"i-a","attempt":1,"load":3,"delay_ms":0,"report_age_ms":20,
    "revision":1,"version":2,"left_ms":5900,"waited_ms":40}"#;

fn ended(status: u16, code: u16, reason: &str) -> String {
    format!(
        r#"{{"wall":1900,"ms":900,"event":"ended","request":"r1",
        "status":{status},"code":{code},"reason":"{reason}","took_ms":860}}"#
    )
}

fn failed(reason: &str) -> String {
    format!(
        r#"{{"wall":1500,"ms":500,"event":"attempt_failed","request":"r1",
        "replica":"i-a","reason":"{reason}","after_ms":400,"next":"retry"}}"#
    )
}

fn cause(lines: &[&str]) -> (Outcome, Cause) {
    let explainer = read(lines);
    let explanation = explainer.explain("r1").unwrap();
    (explanation.history.outcome(), explanation.cause)
}

#[test]
fn a_late_answer_tells_where_its_time_went() {
    let answered = ended(200, 0, "");
    let (outcome, found) = cause(&[START, SENT, &answered]);
    assert_eq!(outcome, Outcome::Answered);
    assert_eq!(found, Cause::WaitedForRoom { waited_ms: 40, took_ms: 860 });
    let lost = failed("no answer in 400 ms");
    let (_, found) = cause(&[START, SENT, &lost, &answered]);
    let reason = Arc::from("no answer in 400 ms");
    let expected =
        Cause::FailedAttempts { lost_ms: 400, reason, took_ms: 860 };
    assert_eq!(found, expected);
}

#[test]
fn a_refusal_tells_whether_replicas_were_full_or_none_fits() {
    let refused = ended(503, 3002, "no replica had room in time");
    let no_replica = |suitable: usize| {
        format!(
            r#"{{"wall":1200,"ms":200,"event":"no_replica","request":"r1",
            "service":"pool","listed":9,"suitable":{suitable},
            "waited_ms":80,"revision":1}}"#
        )
    };
    let (outcome, found) = cause(&[START, &no_replica(4), &refused]);
    assert_eq!(outcome, Outcome::Refused);
    let no_room =
        |limited| Cause::NoRoom { suitable: 4, limited, waited_ms: 80 };
    assert_eq!(found, no_room(0));
    let limited =
        no_replica(4).replace("\"waited_ms\"", "\"limited\":3,\"waited_ms\"");
    let (_, found) = cause(&[START, &limited, &refused]);
    assert_eq!(found, no_room(3));
    let text = found.to_string();
    assert!(text.contains("3 name a rate limit"), "{text}");
    let (_, found) = cause(&[START, &no_replica(0), &refused]);
    let none =
        |barred, evacuated, leaving, resting| Cause::NoSuitableReplica {
            listed: 9,
            barred,
            evacuated,
            leaving,
            resting,
        };
    assert_eq!(found, none(0, 0, 0, 0));
    let bound = no_replica(0).replace(
        "\"waited_ms\"",
        "\"barred\":6,\"evacuated\":3,\"leaving\":2,\"resting\":1,\
         \"waited_ms\"",
    );
    let (_, found) = cause(&[START, &bound, &refused]);
    assert_eq!(found, none(6, 3, 2, 1));
    let told = found.to_string();
    assert!(told.contains("6 are in other regions"), "{told}");
    assert!(told.contains("3 are in evacuated halls"), "{told}");
    assert!(told.contains("2 are leaving"), "{told}");
    assert!(told.contains("1 asked for a pause"), "{told}");
    let (_, found) = cause(&[START, &ended(401, 2012, "unknown key")]);
    let reason = Arc::from("unknown key");
    let routes_age_ms = None;
    assert_eq!(found, Cause::Rule { code: 2012, reason, routes_age_ms });
}

#[test]
fn a_refusal_by_routes_tells_how_old_they_may_be() {
    let refused = r#"{"wall":1900,"ms":900,"event":"ended","request":"r1",
        "status":404,"code":1012,"reason":"revision 35","took_ms":0,
        "routes_age_ms":2400}"#;
    let (outcome, found) = cause(&[START, refused]);
    assert_eq!(outcome, Outcome::Refused);
    assert!(found.to_string().ends_with("all known 2400 ms before"));
}

#[test]
fn a_request_that_ends_replicas_is_refused_for_these() {
    let held = r#"{"wall":1900,"ms":900,"event":"poison_refused",
        "request":"r1","fingerprint":"00","replicas":["i-a","i-b"],
        "age_ms":700,"back_ms":599300}"#;
    let refused = ended(503, 3020, "this same request ended the replicas");
    let (outcome, found) = cause(&[START, held, &refused]);
    assert_eq!(outcome, Outcome::Refused);
    assert_eq!(found.kind(), "ends replicas");
    assert!(found.to_string().contains("i-a, i-b ended under it"));
}

#[test]
fn an_answer_that_breaks_off_names_its_replica() {
    let broken = ended(200, 3011, "no event for 1200 ms");
    let (outcome, found) = cause(&[START, SENT, &broken]);
    assert_eq!(outcome, Outcome::BrokenOff);
    let (replica, reason) =
        (Arc::from("i-a"), Arc::from("no event for 1200 ms"));
    assert_eq!(found, Cause::AttemptFailed { replica, reason });
}

#[test]
fn a_process_that_started_again_ended_what_was_open() {
    let (outcome, found) = cause(&[START, SENT, START]);
    assert_eq!(outcome, Outcome::ProcessEnded);
    assert_eq!(found, Cause::EntryEnded { sent: true });
    let (outcome, found) = cause(&[START, SENT]);
    assert_eq!((outcome, found), (Outcome::Open, Cause::Unknown));
}

#[test]
fn beliefs_and_agents_of_the_replicas_involved_stand_beside_it() {
    let listed = |replica: &str, port: u16| {
        format!(
            r#"{{"wall":1050,"ms":50,"event":"replica_listed",
            "replica":"{replica}","addr":"10.0.0.1:{port}",
            "draining":false}}"#
        )
    };
    let agent = r#"7.2 side-1 {"wall":900,"ms":0,"event":"start",
        "role":"agent","instance":"side-1","hall":"rivera",
        "engine":"10.0.0.1:81"}"#;
    let order = r#"7.2 side-1 {"wall":1400,"ms":500,"event":"load_ordered",
        "model":"m","version":2,"layers":null,"turn":1,"outcome":"taken"}"#;
    let (known, other) = (listed("i-a", 81), listed("i-b", 82));
    let lost = failed("loading");
    let lines = [START, agent, &known, &other, SENT, order, &lost];
    let explainer = read(&lines);
    let explanation = explainer.explain("r1").unwrap();
    let beliefs: Vec<&str> =
        explanation.entry_lines.iter().map(|line| line.text()).collect();
    assert_eq!(beliefs, [START, &*known]);
    let agents: Vec<u64> =
        explanation.agent_lines.iter().map(|line| line.wall_ms()).collect();
    assert_eq!(agents, [900, 1_400]);
}

#[test]
fn failed_requests_are_listed_and_counted() {
    let other = ended(503, 3002, "no room").replace("r1", "r2");
    let explainer = read(&[START, SENT, &ended(200, 0, ""), &other, "noise"]);
    assert_eq!(explainer.failed_requests(), [&Arc::from("r2")]);
    assert_eq!(explainer.summary().values().sum::<u64>(), 2);
    assert_eq!((explainer.lines_read(), explainer.lines_skipped()), (4, 1));
}
