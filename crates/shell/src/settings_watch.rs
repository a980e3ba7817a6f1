//! Detects changes of a process's settings.
//!
//! Not everyone who changes settings sends SIGHUP, so the source is polled as
//! well. A source that is read while it is being written fails to parse, and
//! is read again by the next poll.

use std::time::Duration;

use stairhinge::Error;

use crate::HangUps;

/// The time between reads of the source without a signal.
const POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// A source of a process's settings, such as a file.
pub trait SettingsSource: Send + Sync {
    /// Returns the current text of the settings.
    ///
    /// # Errors
    ///
    /// [`Unreadable`](stairhinge::Code::Unreadable) if it cannot be read.
    fn read(&self) -> Result<String, Error>;
}

/// Waits for the settings of a source to change.
pub struct SettingsWatch {
    source: Box<dyn SettingsSource>,
    hang_ups: HangUps,
    /// The text that was read last; `None` while the source is unreadable.
    known: Option<String>,
}

impl SettingsWatch {
    /// Returns a watch for a process that has read `known` at its start.
    pub fn new(
        source: Box<dyn SettingsSource>,
        known: String,
        hang_ups: HangUps,
    ) -> SettingsWatch {
        SettingsWatch { source, hang_ups, known: Some(known) }
    }

    /// Waits until the settings change or a SIGHUP arrives, and returns the
    /// current text.
    ///
    /// # Errors
    ///
    /// [`Unreadable`](stairhinge::Code::Unreadable) when the source becomes
    /// unreadable, and again at each SIGHUP while it stays so.
    pub async fn changed(&mut self) -> Result<String, Error> {
        loop {
            let signal = self.hang_ups.next();
            let signalled =
                tokio::time::timeout(POLL_INTERVAL, signal).await.is_ok();
            match self.source.read() {
                Ok(text) => {
                    let same = self.known.as_ref() == Some(&text);
                    if signalled || !same {
                        self.known = Some(text.clone());
                        return Ok(text);
                    }
                }
                Err(error) => {
                    let was_known = self.known.take().is_some();
                    if signalled || was_known {
                        return Err(error);
                    }
                }
            }
        }
    }
}
