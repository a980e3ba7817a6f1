//! The tables in the documentation must match the code.

use std::path::PathBuf;

use stairhinge::Code;
use stairhinge_shell::settings::document;

fn doc(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    std::fs::read_to_string(root.join(name)).unwrap()
}

#[test]
fn every_code_stands_in_errors_md() {
    assert!(
        doc("ERRORS.md").contains(&Code::table()),
        "ERRORS.md is out of date: replace its table by the output of \
         `stairhinge docs errors`"
    );
}

#[test]
fn every_field_stands_in_settings_md() {
    let text = doc("SETTINGS.md");
    for (name, table) in [
        ("entry", stairhinge_entry::table()),
        ("agent", stairhinge_agent::table()),
    ] {
        assert!(
            text.contains(&document(&table)),
            "SETTINGS.md is out of date: replace its table by the output of \
             `stairhinge docs {name}`"
        );
    }
}

#[test]
fn every_test_that_proofs_md_names_exists() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut code = String::new();
    let mut folders =
        vec![root.join("src"), root.join("crates"), root.join("tests")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                code.push_str(&std::fs::read_to_string(path).unwrap());
            }
        }
    }
    let mut named = 0;
    for word in doc("PROOFS.md").split('`') {
        let Some(name) = word.strip_prefix("test:") else { continue };
        let defined = format!("fn {name}(");
        assert!(code.contains(&defined), "{name} is not a test");
        named += 1;
    }
    assert!(named >= 20, "{named} tests named");
}
