//! Tests for parsing and tracking rate limits.

use std::time::Duration;

use super::{KnownLimit, LimitChange, RateLimit};
use crate::{Code, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_limit_holds_until_a_later_request_is_answered_without_one() {
    let limit = RateLimit::new(2.5).unwrap();
    let mut known = KnownLimit::default();
    assert_eq!(known.update(None, at(0), at(10)), None);
    let set = Some(LimitChange::Set(limit));
    assert_eq!(known.update(Some(limit), at(0), at(100)), set);
    assert_eq!(
        known.update(Some(limit), at(50), at(200)),
        None,
        "unchanged limit"
    );
    // A late answer to a request sent before the last answer with a limit
    // was received must not withdraw the limit.
    assert_eq!(known.update(None, at(199), at(300)), None);
    assert_eq!(known.limit(), Some(limit));
    let after = Duration::from_millis(300);
    let withdrawn = Some(LimitChange::Withdrawn { after });
    assert_eq!(known.update(None, at(201), at(400)), withdrawn);
    assert_eq!(known.limit(), None);
}

#[test]
fn a_limit_is_a_decimal_number() {
    for (text, per_s) in [("0", 0.0), ("2.3", 2.3), (" 17 ", 17.0)] {
        assert_eq!(text.parse::<RateLimit>().unwrap().per_s(), per_s);
    }
    for (text, code) in [
        ("", Code::BadHeader),
        ("many", Code::BadHeader),
        ("-1", Code::OutOfRange),
        ("NaN", Code::OutOfRange),
        ("inf", Code::OutOfRange),
    ] {
        assert_eq!(text.parse::<RateLimit>().unwrap_err().code(), code);
    }
}

#[test]
fn an_outdated_report_does_not_restore_a_withdrawn_limit() {
    let limit = RateLimit::new(2.5).unwrap();
    let mut known = KnownLimit::default();
    known.update(Some(limit), at(0), at(100));
    known.update(None, at(150), at(200));
    assert_eq!(known.update(Some(limit), at(90), at(140)), None);
    assert_eq!(known.limit(), None);
    let set = Some(LimitChange::Set(limit));
    assert_eq!(known.update(Some(limit), at(160), at(170)), set);
}
