//! Bad input gets a numbered refusal, and the process goes on serving.

use std::net::SocketAddr;
use std::time::Duration;

use stairhinge::Ran;
use stairhinge_local::{Caller, Plan, Trial};
use stairhinge_shell::http::Client;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn plan() -> Plan {
    Plan {
        halls: 1,
        replicas: 1,
        entry: "body_kb: 64\nhead_kb: 16\nhead_ms: 400\nbody_ms: 400\n".into(),
        ..Plan::default()
    }
}

/// Sends raw bytes and reads what comes until the connection ends.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The process may refuse before it has read all of it.
    let _ = stream.write_all(bytes).await;
    let mut out = Vec::new();
    let read = stream.read_to_end(&mut out);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    String::from_utf8_lossy(&out).into_owned()
}

fn chat(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: \
         close\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_numbered_refusal_and_loses_nothing() {
    let trial = Trial::start(plan()).await.unwrap();
    let addr = trial.local.entries()[0];
    let model = "{\"model\":\"matcher\"}";
    let key = format!("idempotency-key: {}\r\n", "k".repeat(200));
    let large = "x".repeat(70_000);
    let table = [
        (chat("", "{"), 400, 1004),
        (chat("", "[1]"), 400, 1004),
        (chat("", "{\"model\":\"none\"}"), 404, 1005),
        (chat("", &large), 413, 1003),
        (chat(&key, model), 400, 1010),
        (chat("stairhinge-repeatable: maybe\r\n", model), 400, 1010),
        (chat("stairhinge-deadline-ms: 0\r\n", model), 400, 1010),
        (chat("stairhinge-workspace: nobody\r\n", model), 403, 1011),
        (
            "GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: \
             close\r\n\r\n"
                .into(),
            405,
            1007,
        ),
        (
            "GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
                .into(),
            404,
            1008,
        ),
        (
            "GET /services/none/x HTTP/1.1\r\nhost: x\r\nconnection: \
             close\r\n\r\n"
                .into(),
            404,
            1006,
        ),
    ];
    let client = Client::new();
    for (request, status, code) in table {
        let said = raw(addr, request.as_bytes()).await;
        let first = request.lines().next().unwrap();
        let want = format!("HTTP/1.1 {status} ");
        assert!(said.starts_with(&want), "{first}: {said}");
        let header = format!("stairhinge-code: {code}\r\n");
        assert!(said.contains(&header), "{first}: {said}");
        assert!(said.contains("stairhinge-ran: did not run"), "{said}");
        let next = Caller::new("next").chat(&client, addr, "matcher").await;
        assert!(next.good(), "after {first}: {next:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_no_http_is_refused_and_slow_senders_are_cut() {
    let trial = Trial::start(plan()).await.unwrap();
    let addr = trial.local.entries()[0];
    let said = raw(addr, b"\x00\x01 nonsense\r\n\r\n").await;
    assert!(said.starts_with("HTTP/1.1 400 "), "{said}");
    let many = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    let said = raw(addr, many.as_bytes()).await;
    assert!(said.starts_with("HTTP/1.1 431 "), "{said}");
    // A head that never ends.
    let said = raw(addr, b"GET / HTTP/1.1\r\nhost:").await;
    assert!(said.is_empty() || said.starts_with("HTTP/1.1 4"), "{said}");
    // A body that never comes.
    let slow = "POST /v1/chat/completions HTTP/1.1\r\nhost: \
                x\r\ncontent-length: 100\r\n\r\n{";
    let said = raw(addr, slow.as_bytes()).await;
    assert!(said.contains("stairhinge-code: 1009"), "{said}");
    let client = Client::new();
    let next = Caller::new("next").chat(&client, addr, "matcher").await;
    assert!(next.good(), "{next:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_is_reached_and_runs_once() {
    let trial = Trial::start(plan()).await.unwrap();
    let addr = trial.local.entries()[0];
    let client = Client::new();
    let call = Caller::new("notice 1");
    let answer = call.service(&client, addr, "archive").await;
    assert!(answer.good(), "{answer:?}");
    assert_eq!(answer.ran, Some(Ran::Ran));
    assert!(answer.content.contains("\"path\":\"/do\""), "{answer:?}");
    assert_eq!(trial.runs("notice 1"), 1);
}
