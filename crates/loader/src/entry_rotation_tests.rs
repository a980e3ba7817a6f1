//! Tests of the selection of entries.

use std::time::Duration;

use super::EntryRotation;

const TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn platform_is_asked_only_after_silent_entries() {
    let mut rotation = EntryRotation::default();
    // Entries without data answer immediately, which is not silence.
    for _ in 0..10 {
        rotation.failed(Duration::from_millis(5), TIMEOUT);
    }
    assert!(!rotation.take_platform_turn());
    assert_eq!(rotation.failures, 10, "each failure moves to the next entry");
    rotation.failed(TIMEOUT, TIMEOUT);
    assert!(!rotation.take_platform_turn(), "another entry may answer");
    rotation.failed(TIMEOUT, TIMEOUT);
    assert!(rotation.take_platform_turn());
    assert!(
        !rotation.take_platform_turn(),
        "entries are asked again afterwards"
    );
    rotation.failed(TIMEOUT, TIMEOUT);
    rotation.succeeded();
    rotation.failed(TIMEOUT, TIMEOUT);
    assert!(!rotation.take_platform_turn());
}
