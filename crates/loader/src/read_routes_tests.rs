//! Tests of whose turn it is to be asked for routes.

use std::time::Duration;

use stairhinge::Code;

use super::{Error, Turn, WITHIN};

fn lost() -> Result<(), Error> {
    Err(Error::new(Code::PeerLost, "no answer"))
}

#[test]
fn the_platform_is_asked_after_silent_entries_only() {
    let mut turn = Turn::default();
    // Entries that have no routes yet say so at once.
    for _ in 0..10 {
        turn.heard(Duration::from_millis(5), &lost());
    }
    assert!(!turn.asks_platform());
    assert_eq!(turn.failures, 10, "each time the next one is asked");
    turn.heard(WITHIN, &lost());
    assert!(!turn.asks_platform(), "another one may be well");
    turn.heard(WITHIN, &lost());
    assert!(turn.asks_platform());
    assert!(!turn.asks_platform(), "then entries are asked again");
    turn.heard(WITHIN, &lost());
    turn.heard(Duration::from_millis(5), &Ok(()));
    turn.heard(WITHIN, &lost());
    assert!(!turn.asks_platform());
}
