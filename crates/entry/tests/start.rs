//! What the entry does with bad settings.

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
    let said = run(std::path::Path::new("/nonexistent/x.yaml"));
    assert!(said.contains("2009"), "{said}");
    let name = format!("stairhinge-entry-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, "name: e\n").unwrap();
    let said = run(&path);
    std::fs::remove_file(&path).unwrap();
    for field in ["hall", "http", "control", "platform"] {
        let want = format!("2001 {field}: missing");
        assert!(said.contains(&want), "{want}: {said}");
    }
}
