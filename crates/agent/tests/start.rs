//! Startup failures of the agent: invalid settings and an address in use.

use std::io::Write as _;
use std::process::{Command, Output};

fn start(settings: &str, name: &str) -> Output {
    let dir = std::env::temp_dir();
    let id = std::process::id();
    let path = dir.join(format!("stairhinge-agent-{name}-{id}.yaml"));
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(settings.as_bytes()).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge-agent"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    out
}

#[test]
fn bad_settings_are_all_named_at_once() {
    let text = "name: a\nhall: h\nhttp: nowhere\ncontrol: 127.0.0.1:1\n\
                platform: 127.0.0.1:1\nbackend: 127.0.0.1:1\nbeat_ms: 1\n\
                colour: red\n";
    let out = start(text, "bad");
    assert!(!out.status.success());
    let said = String::from_utf8_lossy(&out.stderr);
    for part in [
        "line 3: 2010 http",
        "line 7: 2004 beat_ms: 1; allowed: 50 to 60000",
        "line 8: 2001 colour",
    ] {
        assert!(said.contains(part), "{part}: {said}");
    }
}

#[test]
fn a_second_agent_cannot_take_the_slot() {
    let first = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = first.local_addr().unwrap();
    let text = format!(
        "name: a\nhall: h\nhttp: {addr}\ncontrol: 127.0.0.1:0\nplatform: \
         127.0.0.1:1\nbackend: 127.0.0.1:1\n"
    );
    let out = start(&text, "slot");
    assert!(!out.status.success());
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(said.contains("5002"), "{said}");
}
