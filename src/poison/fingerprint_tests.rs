//! Fingerprints.

use super::{Fingerprint, Identity};

const ASKED: Identity<'static> =
    Identity { host: "a", path: "/x?y", caller: "desk", body: b"body" };

#[test]
fn each_part_of_what_is_asked_makes_another_request() {
    let name = Fingerprint::of(&ASKED);
    let others = [
        Identity { host: "b", ..ASKED },
        Identity { path: "/x", ..ASKED },
        Identity { caller: "yard", ..ASKED },
        Identity { body: b"other", ..ASKED },
        // The same bytes, divided otherwise.
        Identity { host: "a/", path: "x?y", ..ASKED },
        Identity { caller: "deskbo", body: b"dy", ..ASKED },
    ];
    for other in others {
        assert_ne!(name, Fingerprint::of(&other), "{other:?}");
    }
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let name = Fingerprint::of(&ASKED);
    let json = serde_json::to_string(&name).unwrap();
    assert_eq!(serde_json::from_str::<Fingerprint>(&json).unwrap(), name);
    for bad in ["", "+", "0", &"g".repeat(32), &format!("+{}", "0".repeat(31))]
    {
        assert!(bad.parse::<Fingerprint>().is_err(), "{bad:?}");
    }
}
