//! Tests of what is logged of an end.

use crate::decisions::DecisionLog;

use super::report_panics;

/// Guards against a task that is gone without a word.
#[test]
fn a_panic_is_logged_with_its_place() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let before = std::panic::take_hook();
    report_panics(&log);
    let panicked = std::thread::spawn(|| panic!("no room for {}", 7)).join();
    std::panic::set_hook(before);
    assert!(panicked.is_err());
    let text = String::from_utf8(log.take()).unwrap();
    assert!(text.contains("\"event\":\"panicked\""), "{text}");
    assert!(text.contains("end_report_tests.rs:"), "{text}");
    assert!(text.contains("no room for 7"), "{text}");
}
