//! Tests that the entry reports the faults of its settings.

use std::process::Command;

#[test]
fn a_missing_file_and_missing_fields_are_named() {
    let run = |path: &std::path::Path| {
        let out = Command::new(env!("CARGO_BIN_EXE_stairhinge-entry"))
            .arg("--settings")
            .arg(path)
            .output()
            .unwrap();
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let stderr = run(std::path::Path::new("/nonexistent/x.yaml"));
    assert!(stderr.contains("2009"), "{stderr}");
    let name = format!("stairhinge-entry-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, "name: e\n").unwrap();
    let stderr = run(&path);
    std::fs::remove_file(&path).unwrap();
    for field in ["hall", "http", "control", "platform"] {
        let expected = format!("2001 {field}: missing");
        assert!(stderr.contains(&expected), "{expected}: {stderr}");
    }
}
