//! Noticing that a process's settings have changed.
//!
//! Whoever changes them may send SIGHUP or not, so the source is also read
//! now and then. A source that is caught half written fails to parse, and is
//! read again with the next look.

use std::time::Duration;

use stairhinge::Error;

use crate::HangUps;

/// How often the source is read without a signal.
const LOOK: Duration = Duration::from_millis(2_000);

/// Reads the text of a process's settings.
pub trait SettingsSource: Send + Sync {
    /// Returns the text that stands there now.
    ///
    /// # Errors
    ///
    /// [`Unreadable`](stairhinge::Code::Unreadable) if there is none.
    fn read(&self) -> Result<String, Error>;
}

/// Waits for other settings than those known.
pub struct SettingsWatch {
    source: Box<dyn SettingsSource>,
    hang_ups: HangUps,
    /// What was read last; `None` while the source is unreadable.
    known: Option<String>,
}

impl SettingsWatch {
    /// Returns a watch by a process that has read `known` at its start.
    pub fn new(
        source: Box<dyn SettingsSource>,
        known: String,
        hang_ups: HangUps,
    ) -> SettingsWatch {
        SettingsWatch { source, hang_ups, known: Some(known) }
    }

    /// Waits until other settings stand there, or somebody says so, and
    /// returns what stands there.
    ///
    /// # Errors
    ///
    /// [`Unreadable`](stairhinge::Code::Unreadable) if the source cannot be
    /// read any more; once, or whenever somebody says that it has changed.
    pub async fn changed(&mut self) -> Result<String, Error> {
        loop {
            let signal = self.hang_ups.next();
            let told = tokio::time::timeout(LOOK, signal).await.is_ok();
            match self.source.read() {
                Ok(text) => {
                    let same = self.known.as_ref() == Some(&text);
                    if told || !same {
                        self.known = Some(text.clone());
                        return Ok(text);
                    }
                }
                Err(error) => {
                    let was_known = self.known.take().is_some();
                    if told || was_known {
                        return Err(error);
                    }
                }
            }
        }
    }
}
