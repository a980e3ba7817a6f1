//! Tests of the decision log.

use std::sync::Arc;

use serde_json::Value;
use stairhinge::explanation::{LogLine, LoggedDecision};

use super::{Decision, DecisionLog};

const ENDED: Decision<'static> = Decision::Ended {
    request: "r1",
    status: 503,
    code: 3002,
    reason: "no room",
    took_ms: 81,
    first_ms: None,
    pause_ms: None,
    routes_age_ms: None,
};

#[test]
fn each_line_is_json_without_duplicate_fields() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    log.write(&ENDED);
    log.write(&Decision::Cancelled { request: "r2", took_ms: 7 });
    log.write(&Decision::FetchDone {
        model: "m",
        version: 2,
        took_ms: 3_000,
        near: 1,
        far: 2,
        origin: 3,
    });
    let text = String::from_utf8(log.take()).unwrap();
    assert_eq!(text.lines().count(), 3);
    for line in text.lines() {
        let value: Value = serde_json::from_str(line).unwrap();
        for name in value.as_object().unwrap().keys() {
            let quoted = format!("\"{name}\":");
            assert_eq!(line.matches(&quoted).count(), 1, "{line}");
        }
    }
}

#[test]
fn a_full_buffer_drops_lines_and_logs_their_number() {
    let log = DecisionLog::new(4_096);
    for _ in 0..10_000 {
        log.write(&ENDED);
    }
    let text = String::from_utf8(log.take()).unwrap();
    assert!(text.len() < 5_000, "{} bytes buffered", text.len());
    let last: Value =
        serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(last["event"], "dropped");
    let kept = text.lines().count() as u64 - 1;
    assert_eq!(last["lines"], 10_000 - kept);
}

#[test]
fn logged_request_decisions_parse_for_explanations() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let written = [
        Decision::Start {
            role: "entry",
            instance: "front-1",
            hall: "rivera",
            engine: None,
        },
        Decision::Sent {
            request: "r1",
            replica: "i-a",
            attempt: 1,
            load: 3,
            delay_ms: 0,
            report_age_ms: None,
            placer: None,
            own_choice: Some("knows no placer"),
            limit_per_s: Some(2.5),
            revision: 1,
            version: Some(2),
            left_ms: 900,
            given_ms: None,
            waited_ms: 40,
            expected_ms: None,
            begin_in_ms: None,
            crashed: 0,
            informed_ms: None,
        },
        Decision::AttemptFailed {
            request: "r1",
            fingerprint: "0123456789abcdef0123456789abcdef",
            replica: "i-a",
            reason: "loading",
            after_ms: 4,
            replica_ended: Some(false),
            next: "retry",
        },
        Decision::NoReplica {
            request: "r1",
            service: "pool",
            list: "whole",
            listed: 9,
            suitable: 4,
            barred: 0,
            evacuated: 0,
            leaving: 0,
            resting: 0,
            limited: 0,
            waited_ms: 80,
            revision: 1,
        },
        Decision::OverloadRefused {
            request: "r1",
            service: "pool",
            reason: "late",
            priority: 1,
            route_priority: 2,
            retry_after_ms: 1_800,
            promised: false,
            capacity: 95.5,
            demand: 125.0,
            age_ms: 40,
            left_ms: 4_100,
            waited_ms: 3,
            revision: 1,
        },
        Decision::Resumed {
            request: "r1",
            replica: "i-b",
            after_event: Some(3),
        },
        Decision::PoisonSuspected {
            request: "r1",
            fingerprint: "0123456789abcdef0123456789abcdef",
            replica: "i-a",
            ended: 1,
            cleared: 0,
            quarantined: false,
            parts: &["5c1e07a2".into()],
        },
        Decision::PoisonRefused {
            request: "r1",
            fingerprint: "0123456789abcdef0123456789abcdef",
            parts: &["5c1e07a2".into()],
            reason: "quarantined_part",
            replicas: &["i-a".into()],
            age_ms: 40,
            back_ms: 599_960,
        },
        Decision::PartsCleared { request: "r1", parts: &["5c1e07a2".into()] },
        ENDED,
        Decision::Cancelled { request: "r1", took_ms: 7 },
        Decision::CallerCut {
            request: "r1",
            code: 3022,
            unread_bytes: 65_536,
            total_bytes: 131_072,
            took_ms: 9_000,
        },
    ];
    for decision in &written {
        log.write(decision);
    }
    let text = String::from_utf8(log.take()).unwrap();
    let process = Arc::from("front-1");
    for line in text.lines() {
        let line = LogLine::parse(&process, line).unwrap();
        assert_ne!(*line.decision(), LoggedDecision::Other, "{line:?}");
    }
    assert_eq!(text.lines().count(), written.len());
}
