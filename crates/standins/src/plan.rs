//! What a stand-in's program does some time after its start, as its arguments
//! say.

use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crate::Gate;

/// A span after the start, written as `FROM-TO` in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    from: Duration,
    length: Duration,
}

impl Span {
    /// Shuts a gate while the span lasts.
    pub async fn shut(self, gate: Arc<Gate>) {
        tokio::time::sleep(self.from).await;
        gate.stand_still(self.length);
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let wanted = || format!("{text:?} is not FROM-TO in milliseconds");
        let (from, to) = text.split_once('-').ok_or_else(wanted)?;
        let from: u64 = from.parse().map_err(|_| wanted())?;
        let to: u64 = to.parse().map_err(|_| wanted())?;
        let length = to.checked_sub(from).ok_or_else(wanted)?;
        let (from, length) =
            (Duration::from_millis(from), Duration::from_millis(length));
        Ok(Span { from, length })
    }
}

/// A document to publish after the start, written as `AT:PATH` with
/// milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Later {
    /// How long after the start.
    pub at: Duration,
    /// Where the document is.
    pub path: PathBuf,
}

impl FromStr for Later {
    type Err = String;

    fn from_str(text: &str) -> Result<Later, String> {
        let wanted = || format!("{text:?} is not AT:PATH in milliseconds");
        let (at, path) = text.split_once(':').ok_or_else(wanted)?;
        let at: u64 = at.parse().map_err(|_| wanted())?;
        Ok(Later { at: Duration::from_millis(at), path: path.into() })
    }
}
