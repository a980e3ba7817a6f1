//! `stairhinge check` and `diff`, as a pipeline sees them.

use std::path::PathBuf;
use std::process::Command;

fn run(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge"))
        .args(args)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    (out.status.success(), said)
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
            let (good, said) = run(&["check", path.to_str().unwrap()]);
            assert!(good, "{said}");
            assert_eq!(said.lines().count(), 1, "a one-line summary");
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
    let (good, said) = run(&["check", &name]);
    assert!(!good);
    let line = text.lines().position(|l| l.starts_with("prefer")).unwrap() + 1;
    let want =
        format!("{name}: line {line}: 2004 prefer: \"cost\"; allowed: time");
    assert!(said.contains(&want), "{said}");
    std::fs::write(&path, "x".repeat(1_000_001)).unwrap();
    let (good, said) = run(&["check", &name]);
    assert!(!good && said.contains("2005"), "{said}");
    std::fs::remove_file(&path).unwrap();
    let (good, said) = run(&["check", &name]);
    assert!(!good && said.contains("2009"), "{said}");
}

#[test]
fn diff_refuses_a_revision_that_does_not_rise() {
    let path = examples().join("haneul/fleet.yaml");
    let name = path.to_str().unwrap();
    let (good, said) = run(&["diff", name, name]);
    assert!(!good && said.contains("REFUSED"), "{said}");
}

/// A file that cannot be read has no line.
#[test]
fn a_missing_file_is_named_without_a_line() {
    let (good, said) = run(&["check", "/nowhere/fleet.yaml"]);
    assert!(!good);
    assert!(said.contains("2009"), "{said}");
    assert!(said.contains("/nowhere/fleet.yaml"), "{said}");
    assert!(!said.contains("line 0"), "{said}");
}

/// Nobody listens on the port of a listener that has just been dropped.
#[test]
fn a_refused_connection_is_told_in_one_line() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let out = Command::new(env!("CARGO_BIN_EXE_stairhinge"))
        .args(["status", "--at", &addr])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success());
    assert!(said.contains("5003") && said.contains(&addr), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}
