//! Tests of the names that a list does not tell of.

use std::sync::Arc;

use super::UnreadNames;

#[test]
fn names_of_unread_spans_are_unread() {
    let mut unread = UnreadNames::default();
    assert!(unread.is_empty());
    assert!(!unread.contains("b"));
    unread.add(Arc::from("b&"), Some(Arc::from("b'")));
    unread.add(Arc::from("x"), None);
    assert!(!unread.is_empty());
    for name in ["b&b", "b&\u{0}", "b'", "x\u{0}", "y", "ü"] {
        assert!(unread.contains(name), "{name}");
    }
    for name in ["", "a", "b", "b&", "b'\u{0}", "c", "x"] {
        assert!(!unread.contains(name), "{name}");
    }
}
