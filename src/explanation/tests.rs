//! Tests that derive causes from log lines in the form that processes write.

use std::sync::Arc;

use super::{Cause, Explainer, Outcome};

fn read_lines(lines: &[&str]) -> Explainer {
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
    let explainer = read_lines(lines);
    let explanation = explainer.explain("r1").unwrap();
    (explanation.history.outcome(), explanation.cause)
}

#[test]
fn a_slow_answer_is_explained_by_where_its_time_went() {
    let answered = ended(200, 0, "");
    let (outcome, found) = cause(&[START, SENT, &answered]);
    assert_eq!(outcome, Outcome::Answered);
    assert_eq!(
        found,
        Cause::WaitedForCapacity { waited_ms: 40, took_ms: 860 }
    );
    let lost = failed("no answer in 400 ms");
    let (_, found) = cause(&[START, SENT, &lost, &answered]);
    let reason = Arc::from("no answer in 400 ms");
    let expected =
        Cause::FailedAttempts { lost_ms: 400, reason, took_ms: 860 };
    assert_eq!(found, expected);
}

#[test]
fn a_refusal_distinguishes_an_unread_list_from_an_empty_one() {
    let refused = ended(503, 3025, "the list is not read yet");
    let no_replica = |list: &str| {
        format!(
            r#"{{"wall":1200,"ms":200,"event":"no_replica","request":"r1",
            "service":"pool","list":"{list}","listed":0,"suitable":0,
            "waited_ms":0,"revision":1}}"#
        )
    };
    for state in ["unread", "partial"] {
        let (_, found) = cause(&[START, &no_replica(state), &refused]);
        assert_eq!(found, Cause::ListUnread { list: Arc::from(state) });
        let text = found.to_string();
        assert!(text.contains(state), "{text}");
    }
    let (_, found) = cause(&[START, &no_replica("whole"), &refused]);
    assert!(matches!(found, Cause::NoSuitableReplica { listed: 0, .. }));
}

#[test]
fn a_refusal_distinguishes_full_from_unsuitable_replicas() {
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
    let no_capacity =
        |limited| Cause::NoCapacity { suitable: 4, limited, waited_ms: 80 };
    assert_eq!(found, no_capacity(0));
    let limited =
        no_replica(4).replace("\"waited_ms\"", "\"limited\":3,\"waited_ms\"");
    let (_, found) = cause(&[START, &limited, &refused]);
    assert_eq!(found, no_capacity(3));
    let text = found.to_string();
    assert!(text.contains("3 have a rate limit"), "{text}");
    let (_, found) = cause(&[START, &no_replica(0), &refused]);
    let unsuitable =
        |barred, evacuated, leaving, resting| Cause::NoSuitableReplica {
            listed: 9,
            barred,
            evacuated,
            leaving,
            resting,
        };
    assert_eq!(found, unsuitable(0, 0, 0, 0));
    let with_reasons = no_replica(0).replace(
        "\"waited_ms\"",
        "\"barred\":6,\"evacuated\":3,\"leaving\":2,\"resting\":1,\
         \"waited_ms\"",
    );
    let (_, found) = cause(&[START, &with_reasons, &refused]);
    assert_eq!(found, unsuitable(6, 3, 2, 1));
    let message = found.to_string();
    assert!(message.contains("6 are in other regions"), "{message}");
    assert!(message.contains("3 are in evacuated halls"), "{message}");
    assert!(message.contains("2 are leaving"), "{message}");
    assert!(message.contains("1 sent a Retry-After"), "{message}");
    let (_, found) = cause(&[START, &ended(401, 2012, "unknown key")]);
    let reason = Arc::from("unknown key");
    let routes_age_ms = None;
    assert_eq!(found, Cause::Rejected { code: 2012, reason, routes_age_ms });
}

#[test]
fn a_refusal_by_routes_includes_their_age() {
    let refused = r#"{"wall":1900,"ms":900,"event":"ended","request":"r1",
        "status":404,"code":1012,"reason":"revision 35","took_ms":0,
        "routes_age_ms":2400}"#;
    let (outcome, found) = cause(&[START, refused]);
    assert_eq!(outcome, Outcome::Refused);
    assert!(
        found.to_string().ends_with("all routes last known 2400 ms before")
    );
}

#[test]
fn a_quarantined_request_names_the_replicas_that_it_crashed() {
    let quarantined = r#"{"wall":1900,"ms":900,"event":"poison_refused",
        "request":"r1","fingerprint":"00","replicas":["i-a","i-b"],
        "age_ms":700,"back_ms":599300}"#;
    let refused = ended(503, 3020, "this same request ended the replicas");
    let (outcome, found) = cause(&[START, quarantined, &refused]);
    assert_eq!(outcome, Outcome::Refused);
    assert_eq!(found.kind(), "quarantined");
    assert!(found.to_string().contains("i-a, i-b crashed while running it"));
}

#[test]
fn a_refusal_for_a_part_of_a_prompt_names_the_part() {
    let quarantined = r#"{"wall":1900,"ms":900,"event":"poison_refused",
        "request":"r1","fingerprint":"80","parts":["5c1e07a2"],
        "replicas":["i-a","i-b"],"age_ms":700,"back_ms":599300}"#;
    let refused = ended(503, 3020, "a part of its prompt ended the replicas");
    let (_, found) = cause(&[START, quarantined, &refused]);
    let found = found.to_string();
    assert!(found.contains("running part 5c1e07a2 of its prompt"), "{found}");
}

#[test]
fn a_truncated_answer_names_its_replica() {
    let truncated = ended(200, 3011, "no event for 1200 ms");
    let (outcome, found) = cause(&[START, SENT, &truncated]);
    assert_eq!(outcome, Outcome::Truncated);
    let (replica, reason) =
        (Arc::from("i-a"), Arc::from("no event for 1200 ms"));
    assert_eq!(found, Cause::AttemptFailed { replica, reason });
}

/// Guards against ascribing an answer to its replica that was cut because its
/// caller read nothing, whether the replica had finished or not.
#[test]
fn a_caller_that_read_nothing_is_named_as_the_cause() {
    let cut = r#"{"wall":1900,"ms":900,"event":"caller_cut","request":"r1",
        "code":3022,"unread_bytes":65536,"total_bytes":70000,"took_ms":860}"#;
    let (whole, part) = (ended(200, 0, ""), ended(200, 3022, "in part"));
    for lines in [[START, SENT, &whole, cut], [START, SENT, cut, &part]] {
        let (outcome, found) = cause(&lines);
        assert_eq!(outcome, Outcome::Truncated);
        let expected =
            Cause::CallerUnread { unread_bytes: 65_536, took_ms: 860 };
        assert_eq!(found, expected);
    }
}

#[test]
fn a_restart_ends_the_unfinished_requests_of_the_process() {
    let (outcome, found) = cause(&[START, SENT, START]);
    assert_eq!(outcome, Outcome::ProcessTerminated);
    assert_eq!(found, Cause::EntryTerminated { sent: true });
    let (outcome, found) = cause(&[START, SENT]);
    assert_eq!((outcome, found), (Outcome::Unfinished, Cause::Unknown));
}

#[test]
fn context_lines_concern_the_replicas_involved() {
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
    let explainer = read_lines(&lines);
    let explanation = explainer.explain("r1").unwrap();
    let entry_lines: Vec<&str> =
        explanation.entry_lines.iter().map(|line| line.text()).collect();
    assert_eq!(entry_lines, [START, &*known]);
    let agent_times: Vec<u64> =
        explanation.agent_lines.iter().map(|line| line.wall_ms()).collect();
    assert_eq!(agent_times, [900, 1_400]);
}

/// Guards against log lines about ejections that cannot be read or are left out
/// of the explanation of a request to that replica.
#[test]
fn ejections_of_the_replicas_involved_are_context() {
    let ejected = |replica: &str| {
        format!(
            r#"{{"wall":1060,"ms":60,"event":"replica_ejected",
            "replica":"{replica}","failures":4,"requests":5,"expected":0.05,
            "ejections":1,"for_ms":1000,"trial":false}}"#
        )
    };
    let (known, other) = (ejected("i-a"), ejected("i-b"));
    let trial = r#"{"wall":1070,"ms":70,"event":"replica_trial",
        "replica":"i-a","ejections":1}"#;
    let readmitted = r#"{"wall":1080,"ms":80,"event":"replica_readmitted",
        "replica":"i-a","tried":true}"#;
    let lost = failed("loading");
    let lines = [START, &known, &other, trial, readmitted, SENT, &lost];
    let explainer = read_lines(&lines);
    let explanation = explainer.explain("r1").unwrap();
    let entry_lines: Vec<&str> =
        explanation.entry_lines.iter().map(|line| line.text()).collect();
    assert_eq!(entry_lines, [START, &*known, readmitted]);
}

#[test]
fn failed_requests_are_listed_and_counted() {
    let other = ended(503, 3002, "no room").replace("r1", "r2");
    let explainer =
        read_lines(&[START, SENT, &ended(200, 0, ""), &other, "noise"]);
    assert_eq!(explainer.failed_requests(), [&Arc::from("r2")]);
    assert_eq!(explainer.summary().values().sum::<u64>(), 2);
    assert_eq!((explainer.lines_read(), explainer.lines_skipped()), (4, 1));
}

/// Guards against refusals under overload that cannot be explained, and
/// against estimates that are missing from a line.
#[test]
fn a_refusal_under_overload_names_the_estimate() {
    let line = r#"{"wall":1200,"ms":200,"event":"overload_refused",
        "request":"r1","service":"pool","reason":"late","priority":1,
        "route_priority":2,"retry_after_ms":1800,"promised":false,
        "capacity":95.0,"demand":125.0,"age_ms":40,"left_ms":4100,
        "waited_ms":0,"revision":1}"#;
    let refused = ended(503, 3002, "no capacity");
    let (outcome, found) = cause(&[START, line, &refused]);
    assert_eq!(outcome, Outcome::Refused);
    assert_eq!(found.kind(), "overloaded");
    let text = found.to_string();
    assert!(text.contains("could only be late"), "{text}");
    assert!(text.contains("76 % of the demand"), "{text}");
    assert!(text.contains("return in 1800 ms"), "{text}");
    let unknown = line.replace("125.0", "0.0").replace("late", "waited");
    let (_, found) = cause(&[START, &unknown, &refused]);
    let text = found.to_string();
    assert!(!text.contains("demand"), "{text}");
}
