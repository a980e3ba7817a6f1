//! Versions published in quick succession, a platform that is silent to some
//! processes, and an engine that stands still as its program was told.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use stairhinge::document::Kind;
use stairhinge_shell::http::Client;
use stairhinge_standins::{Door, Platform, Span, start};

const SOON: Duration = Duration::from_secs(5);

/// Between two versions.
const GAP: Duration = Duration::from_millis(200);

/// How long some processes hear nothing.
const SILENT: Duration = Duration::from_millis(1_000);

fn here() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Waits for a revision above one, and returns it.
async fn watch(client: &Client, addr: SocketAddr, above: u64) -> String {
    let path = format!("/v1/config?above={above}&wait_ms=5000");
    let got = client.get(addr, &path, 99, SOON).await.unwrap();
    got.1["revision"].to_str().unwrap().to_string()
}

/// A process that is cut off while two versions are published never hears of
/// the first of them as one.
#[tokio::test]
async fn a_process_that_is_cut_off_hears_of_the_newest_version_only() {
    let platform = Platform::new();
    platform.publish(Kind::Config, 1, "one".into());
    let door = Door::new(platform.clone());
    let (all, some) =
        (start(here(), platform.clone()), start(here(), door.clone()));
    let (all, some) = (all.await.unwrap(), some.await.unwrap());
    door.stand_still(SILENT);
    let from = Instant::now();
    let series = vec![(GAP, 2, "two".into()), (GAP * 2, 5, "five".into())];
    let playing = tokio::spawn({
        let platform = platform.clone();
        async move { platform.play(Kind::Config, series).await }
    });
    let client = Client::new();
    assert_eq!(watch(&client, all.addr(), 1).await, "2");
    assert!(from.elapsed() >= GAP);
    assert_eq!(watch(&client, all.addr(), 2).await, "5");
    assert!(from.elapsed() < SILENT, "others hear while some do not");
    assert_eq!(watch(&client, some.addr(), 1).await, "5");
    assert!(from.elapsed() >= SILENT);
    playing.await.unwrap();
}

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn an_engine_stands_still_as_its_program_was_told() {
    let addr = TcpListener::bind(here()).unwrap().local_addr().unwrap();
    let from = Instant::now();
    let program = Command::new(env!("CARGO_BIN_EXE_stairhinge-standin"))
        .args(["engine", "--listen", &addr.to_string()])
        .args(["--still", "0-1000"])
        .spawn()
        .unwrap();
    let _program = Program(program);
    let client = Client::new();
    let end = from + SOON;
    loop {
        let got = client.get(addr, "/engine", 999, SOON).await;
        if let Ok((status, ..)) = got {
            assert_eq!(status, 200);
            break;
        }
        assert!(Instant::now() < end, "it never listens");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(from.elapsed() >= SILENT);
}

#[test]
fn a_span_that_ends_before_it_begins_is_refused() {
    for text in ["300-200", "x-1", "5", "-"] {
        assert!(text.parse::<Span>().is_err(), "{text}");
    }
    assert!("200-300".parse::<Span>().is_ok());
}
