//! `stairhinge check`, `diff` and `status` as a script sees them: exit status
//! and output.

use std::path::PathBuf;
use std::process::Command;

/// Runs the command; returns whether it succeeded, and its output.
fn run(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge"))
        .args(args)
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    (out.status.success(), output)
}

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn all_examples_check() {
    let mut count = 0;
    let mut folders = vec![examples()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            if path.extension().is_none_or(|e| e != "yaml") {
                continue;
            }
            let (good, output) = run(&["check", path.to_str().unwrap()]);
            assert!(good, "{output}");
            assert_eq!(output.lines().count(), 1, "a one-line summary");
            count += 1;
        }
    }
    assert!(count >= 6, "{count} examples");
}

#[test]
fn a_bad_file_names_file_line_field_value_and_range() {
    let good = examples().join("hallazgos/fleet.yaml");
    let text = std::fs::read_to_string(good).unwrap();
    let dir = std::env::temp_dir();
    let id = std::process::id();
    let path = dir.join(format!("stairhinge-check-{id}.yaml"));
    let name = path.display().to_string();
    std::fs::write(&path, text.replace("prefer: origin", "prefer: cost"))
        .unwrap();
    let (good, output) = run(&["check", &name]);
    assert!(!good);
    let line = text.lines().position(|l| l.starts_with("prefer")).unwrap() + 1;
    let expected =
        format!("{name}: line {line}: 2004 prefer: \"cost\"; allowed: time");
    assert!(output.contains(&expected), "{output}");
    std::fs::write(&path, "x".repeat(1_000_001)).unwrap();
    let (good, output) = run(&["check", &name]);
    assert!(!good && output.contains("2005"), "{output}");
    std::fs::remove_file(&path).unwrap();
    let (good, output) = run(&["check", &name]);
    assert!(!good && output.contains("2009"), "{output}");
}

#[test]
fn diff_refuses_a_revision_that_does_not_rise() {
    let path = examples().join("haneul/fleet.yaml");
    let name = path.to_str().unwrap();
    let (good, output) = run(&["diff", name, name]);
    assert!(!good && output.contains("REFUSED"), "{output}");
}

/// A file that can't be read has no line, so its fault must name none.
#[test]
fn a_missing_file_is_named_without_a_line() {
    let (good, output) = run(&["check", "/nowhere/fleet.yaml"]);
    assert!(!good);
    assert!(output.contains("2009"), "{output}");
    assert!(output.contains("/nowhere/fleet.yaml"), "{output}");
    assert!(!output.contains("line 0"), "{output}");
}

/// An error must be printed as one line without a backtrace. The port of a
/// listener that has just been dropped refuses connections.
#[test]
fn a_refused_connection_is_told_in_one_line() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge"))
        .args(["status", "--at", &addr])
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success());
    assert!(output.contains("5003") && output.contains(&addr), "{output}");
    assert_eq!(output.lines().count(), 1, "{output}");
}
