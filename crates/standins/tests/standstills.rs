//! Stand-ins stand still and go on, and single connections fall silent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use stairhinge_standins::{Engine, EngineSettings, Service, start};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SOON: Duration = Duration::from_secs(5);

/// Longer than any pause within an answer.
const QUIET: Duration = Duration::from_millis(300);

const STILL: Duration = Duration::from_millis(800);

fn here() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn ask(addr: SocketAddr, path: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    send(&mut stream, path, body).await;
    stream
}

async fn send(stream: &mut TcpStream, path: &str, body: &str) {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads what comes within a span.
async fn read_some(stream: &mut TcpStream, span: Duration) -> Option<String> {
    let mut bytes = vec![0; 4096];
    let read = tokio::time::timeout(span, stream.read(&mut bytes)).await;
    let count = read.ok()?.unwrap();
    Some(String::from_utf8_lossy(&bytes[..count]).into_owned())
}

async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.contains(end) {
        let more = read_some(stream, SOON).await.expect("more");
        assert!(!more.is_empty(), "closed after {text}");
        text.push_str(&more);
    }
    text
}

/// An engine that made tokens while it stood still would hide what a
/// standstill does to callers.
#[tokio::test]
async fn an_engine_makes_nothing_in_a_standstill_and_goes_on_after_it() {
    let settings = EngineSettings { fences: false, ..Default::default() };
    let engine = Engine::new(settings);
    engine.impose("v1");
    let running = start(here(), engine.clone()).await.unwrap();
    let body = r#"{"stream":true,"max_tokens":60,"messages":[]}"#;
    let path = "/v1/chat/completions";
    let mut stream = ask(running.addr(), path, body).await;
    read_until(&mut stream, "/5 ").await;
    engine.stand_still(STILL);
    engine.stand_still(STILL / 4);
    let from = Instant::now();
    while read_some(&mut stream, QUIET).await.is_some() {
        assert!(from.elapsed() < STILL, "it goes on in its standstill");
    }
    read_until(&mut stream, "[DONE]").await;
    // The 30 tokens or more that were left took their time after it.
    assert!(from.elapsed() >= STILL + settings.step * 20);
}

#[tokio::test]
async fn a_service_reads_nothing_in_a_standstill() {
    let service = Service::new(Duration::ZERO);
    let running = start(here(), service.clone()).await.unwrap();
    service.stand_still(STILL);
    let mut stream = ask(running.addr(), "/x", "body").await;
    assert!(read_some(&mut stream, QUIET).await.is_none());
    assert!(service.records().is_empty());
    read_until(&mut stream, "body").await;
    assert_eq!(service.records().len(), 1);
}

#[tokio::test]
async fn a_connection_stays_silent_while_new_ones_work() {
    let service = Service::new(Duration::ZERO);
    let running = start(here(), service.clone()).await.unwrap();
    let mut old = ask(running.addr(), "/x", "first").await;
    read_until(&mut old, "first").await;
    assert_eq!(service.silence_open(1.0), 1);
    send(&mut old, "/x", "second").await;
    assert!(read_some(&mut old, QUIET).await.is_none(), "no reset either");
    let mut new = ask(running.addr(), "/x", "third").await;
    read_until(&mut new, "third").await;
    assert!(read_some(&mut old, QUIET).await.is_none());
    assert_eq!(service.records().len(), 2);
}
