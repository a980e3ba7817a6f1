use super::{Fleet, MAX_DOCUMENT_BYTES, Prefer, diff};

const DIGEST: &str =
    "00000000000000000000000000000000000000000000000000000000000000ab";

fn valid_declaration() -> String {
    format!(
        "revision: 7
name: haneul
prefer: time
sites:
  - {{name: seoul-a, region: seoul}}
  - {{name: daegu-a}}
workspaces:
  - {{name: enumerators, share: 10, priority: 1}}
services:
  - {{name: billing, repeatable: false}}
models:
  - name: reader
    serve: v1
    versions:
      - {{name: v1, manifest: '{DIGEST}'}}
    placements:
      - {{site: seoul-a, replicas: 4}}
backends:
  - {{name: s-1, site: seoul-a}}
  - {{name: b-1, site: daegu-a, service: billing}}
"
    )
}

#[test]
fn a_valid_declaration_is_parsed() {
    let fleet = Fleet::parse(&valid_declaration()).unwrap();
    assert_eq!(fleet.revision(), 7);
    assert_eq!(fleet.prefer(), Prefer::Time);
    assert_eq!(fleet.origin_budget(), 1);
    let model = fleet.model("reader").unwrap();
    assert_eq!(&**model.served_version().name(), "v1");
    assert_eq!(model.replicas("seoul-a"), 4);
    assert_eq!(model.replicas("daegu-a"), 0);
    let backend = fleet.backend("b-1").unwrap();
    assert_eq!(backend.service().map(|s| &**s), Some("billing"));
    assert_eq!(&**fleet.sites()[1].region(), "daegu-a");
}

#[test]
fn each_fault_names_code_line_and_field() {
    let table = [
        ("revision: 7", "revision: 0", 2004, 1, "revision"),
        ("prefer: time", "prefer: speed", 2004, 3, "prefer"),
        ("name: daegu-a}", "name: seoul-a}", 2002, 6, "sites[1].name"),
        ("share: 10", "share: 0", 2004, 8, "workspaces[0].share"),
        ("priority: 1", "priority: 10", 2004, 8, "workspaces[0].priority"),
        ("serve: v1", "serve: v9", 2003, 13, "models[0].serve"),
        ("ab'", "zz'", 2011, 15, "models[0].versions[0].manifest"),
        (
            "site: seoul-a, replicas: 4",
            "site: busan, replicas: 4",
            2003,
            17,
            "models[0].placements[0].site",
        ),
        (
            "replicas: 4",
            "replicas: -1",
            2004,
            17,
            "models[0].placements[0].replicas",
        ),
        (
            "service: billing",
            "service: bills",
            2003,
            20,
            "backends[1].service",
        ),
        ("name: s-1", "name: 's 1'", 2004, 19, "backends[0].name"),
    ];
    for (from, to, code, line, field) in table {
        let text = valid_declaration().replacen(from, to, 1);
        assert_ne!(text, valid_declaration(), "{from}");
        let faults = Fleet::parse(&text).unwrap_err();
        let found = faults.iter().find(|f| f.field() == field);
        let found = found.unwrap_or_else(|| panic!("{to}: {faults}"));
        assert_eq!(found.code().number(), code, "{to}");
        assert_eq!(found.line(), line, "{to}: {found}");
    }
}

#[test]
fn faults_are_reported_all_at_once() {
    let text = valid_declaration()
        .replace("revision: 7", "revision: 0")
        .replace("share: 10", "share: 0")
        .replace("serve: v1", "serve: v9");
    assert_eq!(Fleet::parse(&text).unwrap_err().iter().count(), 3);
}

#[test]
fn unknown_fields_and_broken_yaml_name_the_line() {
    let text = valid_declaration().replace("prefer: time", "prefers: time");
    let faults = Fleet::parse(&text).unwrap_err();
    let fault = faults.iter().next().unwrap();
    assert_eq!((fault.code().number(), fault.line()), (2001, 3));
    assert!(fault.to_string().contains("prefers"), "{fault}");
    let faults = Fleet::parse("revision: [1\nname: x").unwrap_err();
    assert_eq!(faults.iter().next().unwrap().code().number(), 2001);
}

#[test]
fn a_document_above_the_size_limit_is_refused_unparsed() {
    let text =
        format!("{}#{}", valid_declaration(), "x".repeat(MAX_DOCUMENT_BYTES));
    let faults = Fleet::parse(&text).unwrap_err();
    assert_eq!(faults.iter().next().unwrap().code().number(), 2005);
}

#[test]
fn diff_describes_the_effects_of_a_change() {
    let old = Fleet::parse(&valid_declaration()).unwrap();
    let table = [
        ("revision: 7", "revision: 6", "REFUSED: revision 6"),
        ("prefer: time", "prefer: origin", "distribution prefers origin"),
        ("replicas: 4", "replicas: 5", "5 replicas instead of 4"),
        ("name: enumerators", "name: clerks", "workspace clerks is new"),
        ("name: s-1", "name: s-2", "guards move"),
    ];
    for (from, to, expected) in table {
        let text = valid_declaration().replace(from, to);
        let new = Fleet::parse(&text).unwrap();
        let lines = diff(&old, &new).join("\n");
        assert!(lines.contains(expected), "{to}: {lines}");
    }
}
