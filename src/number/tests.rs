use proptest::prelude::*;
use serde::Deserialize;

use super::{maybe_whole, whole};

#[derive(Debug, Deserialize, PartialEq)]
struct Read {
    #[serde(deserialize_with = "whole")]
    count: u32,
    #[serde(default, deserialize_with = "maybe_whole")]
    span: Option<u64>,
}

fn read(text: &str) -> Result<Read, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

#[test]
fn reads_any_number_notation() {
    let expected = Read { count: 34, span: Some(3_000) };
    for text in [
        r#"{"count":34,"span":3000}"#,
        r#"{"count":34.421052631578945,"span":3000.0}"#,
        r#"{"count":3.4e1,"span":3.0004e3}"#,
    ] {
        assert_eq!(read(text).as_ref(), Ok(&expected), "{text}");
    }
    for text in [r#"{"count":1}"#, r#"{"count":1,"span":null}"#] {
        assert_eq!(read(text), Ok(Read { count: 1, span: None }));
    }
    let yaml = "count: 34.421052631578945\nspan: 7.0\n";
    let got: Read = serde_saphyr::from_str(yaml).unwrap();
    assert_eq!(got, Read { count: 34, span: Some(7) });
}

#[test]
fn rejects_invalid_numbers_with_the_allowed_range() {
    for (value, message) in [
        ("-1", "-1, allowed: 0 to 4294967295"),
        ("4294967296", "4294967296, allowed: 0 to 4294967295"),
        ("\"7\"", "invalid type: string"),
        ("null", "invalid type: null"),
    ] {
        let text = format!(r#"{{"count":{value}}}"#);
        let got = read(&text).unwrap_err();
        assert!(got.contains(message), "{value}: {got}");
    }
}

proptest! {
    #[test]
    fn keeps_integers_exactly(number in 0..(1u64 << 53)) {
        let text = format!(r#"{{"count":0,"span":{number}}}"#);
        prop_assert_eq!(read(&text).unwrap().span, Some(number));
    }
}
