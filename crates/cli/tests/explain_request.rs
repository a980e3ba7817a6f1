//! `stairhinge explain-request` on log files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary directory of log files; removed when dropped.
struct LogDir(PathBuf);

impl LogDir {
    fn new(name: &str) -> LogDir {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("stairhinge-{name}-{id}"));
        std::fs::create_dir_all(&dir).unwrap();
        LogDir(dir)
    }

    fn file(&self, name: &str, lines: &[&str]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, lines.join("\n")).unwrap();
        path
    }
}

impl Drop for LogDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn explain(logs: &[&Path], more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stairhinge"))
        .arg("explain-request")
        .args(logs)
        .args(more)
        .output()
        .unwrap()
}

const REFUSED: &str = r#"{"wall":5,"ms":5,"event":"no_replica","request":"r1","service":"pool","listed":3,"suitable":0,"waited_ms":0,"revision":1}"#;
const ENDED: &str = r#"{"wall":5,"ms":5,"event":"ended","request":"r1","status":503,"code":3002,"reason":"no replica serves this","took_ms":0}"#;
const SERVED: &str = r#"{"wall":9,"ms":9,"event":"ended","request":"r2","status":200,"code":0,"reason":"","took_ms":4}"#;

#[test]
fn a_failed_request_is_followed_to_its_cause_over_files() {
    let logs = LogDir::new("explained");
    let first = logs.file("front-1.log", &[REFUSED, ENDED, "no decision"]);
    let second = logs.file("front-2.log", &[SERVED]);
    let files = [first.as_path(), second.as_path()];

    let found = explain(&files, &["--id", "r1"]);
    assert!(found.status.success());
    let text = String::from_utf8(found.stdout).unwrap();
    assert!(text.contains("request r1 at front-1: refused"), "{text}");
    let cause = "cause: none of 3 replicas listed could serve it";
    assert!(text.contains(cause), "{text}");

    let drawn = explain(&files, &["--summary", "--draw", "9"]);
    let text = String::from_utf8(drawn.stdout).unwrap();
    assert!(text.contains("1 refused: no suitable replica"), "{text}");
    assert!(text.contains("1 answered: replica's own time"), "{text}");
    assert!(text.contains("request r1 at front-1"), "{text}");
    assert!(!text.contains("request r2 at"), "only failed ones are drawn");
}

#[test]
fn an_id_that_no_line_names_is_an_error() {
    let logs = LogDir::new("unexplained");
    let log = logs.file("front-1.log", &[SERVED]);
    let found = explain(&[log.as_path()], &["--id", "r9"]);
    assert!(!found.status.success());
    let text = String::from_utf8(found.stderr).unwrap();
    assert!(text.contains("no line of these logs names request r9"), "{text}");
}
