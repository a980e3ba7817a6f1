//! The time for which an answer without a known end may go on.

use std::time::Duration;

/// How long after the deadline such an answer may go on, beside the time for
/// which its caller has kept it waiting. What is ready by then is delivered
/// late.
const MAX_OVERTIME: Duration = Duration::from_millis(400);

/// How long after the deadline such an answer may go on in any case.
const MAX_LATE: Duration = Duration::from_secs(10);

/// Returns whether an answer that may never end has gone on for too long: it
/// is `late` after its deadline, and its caller has kept it waiting for as
/// long as `waited`.
pub fn is_overtime(late: Duration, waited: Duration) -> bool {
    late > MAX_OVERTIME.saturating_add(waited).min(MAX_LATE)
}
