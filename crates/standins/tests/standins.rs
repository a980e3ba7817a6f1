//! The stand-ins do what the platform's published protocols say.

use std::process::Command;
use std::time::Duration;

use hyper::Request;
use stairhinge::document::Kind;
use stairhinge_shell::http::{Client, full, headers};
use stairhinge_standins::{
    Engine, EngineSettings, Mode, Origin, Pack, Platform, start, weights,
};

const SOON: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_watch_ends_when_something_newer_is_published() {
    let platform = Platform::new();
    let here = "127.0.0.1:0".parse().unwrap();
    let running = start(here, platform.clone()).await.unwrap();
    let client = Client::new();
    let addr = running.addr();
    let path = "/v1/config?above=0&wait_ms=60000";
    let watch = {
        let client = client.clone();
        tokio::spawn(async move {
            client.get(addr, path, 1 << 20, Duration::from_secs(60)).await
        })
    };
    while platform.calls() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    platform.publish(Kind::Config, 3, "three".into());
    let (status, head, bytes) = watch.await.unwrap().unwrap();
    assert_eq!((status, &bytes[..]), (200, &b"three"[..]));
    assert_eq!(head["revision"], "3");
    platform.set(Mode::Down);
    let path = "/v1/config?above=0";
    let (status, ..) = client.get(addr, path, 99, SOON).await.unwrap();
    assert_eq!(status, 503);
}

#[tokio::test]
async fn an_engine_refuses_orders_under_a_lower_fence() {
    let here = "127.0.0.1:0".parse().unwrap();
    for (fences, later) in [(true, 409), (false, 200)] {
        let settings = EngineSettings { fences, ..EngineSettings::default() };
        let engine = Engine::new(settings);
        let running = start(here, engine).await.unwrap();
        let client = Client::new();
        for (fence, want) in [("7.1.1", 200), ("6.9.9", later), ("7.1.2", 200)]
        {
            let request = Request::post("/engine/unload")
                .header(headers::FENCE, fence)
                .body(full(""))
                .unwrap();
            let sent = client.send(running.addr(), request, SOON).await;
            assert_eq!(sent.unwrap().status().as_u16(), want, "{fence}");
        }
    }
}

#[tokio::test]
async fn an_origin_tells_what_it_sent_and_fails_when_told() {
    let origin = Origin::new(0);
    let pack = Pack::new(&weights(1, 1_000), 400).unwrap();
    origin.add(&pack);
    let here = "127.0.0.1:0".parse().unwrap();
    let running = start(here, origin.clone()).await.unwrap();
    let client = Client::new();
    let (digest, bytes) = &pack.blobs()[0];
    let path = format!("/blobs/{digest}");
    let got = client.get(running.addr(), &path, 9_999, SOON).await.unwrap();
    assert_eq!(got.2, bytes);
    assert_eq!(origin.sent(), 400);
    origin.faults().corrupt(1);
    let got = client.get(running.addr(), &path, 9_999, SOON).await.unwrap();
    assert_ne!(got.2, bytes);
    origin.faults().quota(1);
    let got = client.get(running.addr(), &path, 9_999, SOON).await.unwrap();
    assert_eq!(got.0, 503);
}

#[test]
fn the_program_prints_the_digests_of_its_weights() {
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge-standin"))
        .args(["origin", "--listen", "127.0.0.1:0", "--seed", "1", "--print"])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stdout);
    let pack = Pack::new(&weights(1, 1 << 20), 64 << 10).unwrap();
    assert_eq!(said.trim(), format!("1 {}", pack.manifest()));
}
