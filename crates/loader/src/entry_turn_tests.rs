//! Tests of whose turn it is to be asked.

use std::time::Duration;

use super::EntryTurn;

const WITHIN: Duration = Duration::from_secs(2);

#[test]
fn the_platform_is_asked_after_silent_entries_only() {
    let mut turn = EntryTurn::default();
    // Entries that have nothing yet say so at once.
    for _ in 0..10 {
        turn.failed(Duration::from_millis(5), WITHIN);
    }
    assert!(!turn.asks_platform());
    assert_eq!(turn.failures, 10, "each time the next one is asked");
    turn.failed(WITHIN, WITHIN);
    assert!(!turn.asks_platform(), "another one may be well");
    turn.failed(WITHIN, WITHIN);
    assert!(turn.asks_platform());
    assert!(!turn.asks_platform(), "then entries are asked again");
    turn.failed(WITHIN, WITHIN);
    turn.heard();
    turn.failed(WITHIN, WITHIN);
    assert!(!turn.asks_platform());
}
