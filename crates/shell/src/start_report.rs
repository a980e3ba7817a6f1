//! Logs why a process that has started does not serve yet.

use std::time::Duration;

use stairhinge::Error;
use tokio::time::Instant;

use crate::decisions::{Decision, DecisionLog};

/// How often the process is checked until it serves.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time after the start from which on a delay is logged. It is logged
/// again each time that this has doubled.
const FIRST_REPORT: Duration = Duration::from_secs(1);

/// What a process waits for before it serves.
#[derive(Debug)]
pub struct Obstacle {
    /// What it waits for.
    pub waits_for: &'static str,
    /// Why that has failed, if it has.
    pub failure: Option<Error>,
}

/// Logs when the process serves, and until then what it waits for: a second
/// after the start, and after each doubling of that time.
pub async fn report_start(
    log: DecisionLog,
    obstacle: impl Fn() -> Option<Obstacle> + Send,
) {
    let start = Instant::now();
    let mut due = FIRST_REPORT;
    while let Some(Obstacle { waits_for, failure }) = obstacle() {
        let after = start.elapsed();
        if after >= due {
            due *= 2;
            log.write(&Decision::StartDelayed {
                waits_for,
                reason: failure.as_ref().map(Error::message),
                after_ms: after.as_millis() as u64,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let after_ms = start.elapsed().as_millis() as u64;
    log.write(&Decision::Started { after_ms });
}
