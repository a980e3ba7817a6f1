//! Names of requests and of attempts to run them.

use std::fmt;
use std::sync::Arc;

use crate::{Code, Error};

/// A caller's name for one request (`Idempotency-Key`).
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(Arc<str>);

impl Key {
    /// The most bytes of a key.
    pub const MAX_BYTES: usize = 128;

    /// Returns the key of a workspace's request. Workspaces do not share
    /// keys, so that one cannot take another's.
    ///
    /// # Errors
    ///
    /// [`Code::BadHeader`] unless `text` has 1 to [`Key::MAX_BYTES`] visible
    /// ASCII characters.
    pub fn new(workspace: &str, text: &str) -> Result<Key, Error> {
        let fits = (1..=Key::MAX_BYTES).contains(&text.len());
        if !fits || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::new(
                Code::BadHeader,
                format_args!(
                    "key of {} bytes, allowed: 1 to {} visible ASCII",
                    text.len(),
                    Key::MAX_BYTES
                ),
            ));
        }
        Ok(Key(Arc::from(format!("{workspace}/{text}"))))
    }

    /// Returns a key as it came from another process of the system.
    pub fn received(text: &str) -> Key {
        Key(Arc::from(text))
    }

    /// Returns the key's text, the workspace first.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One attempt to run a request at one agent; never used twice.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(Arc<str>);

impl Attempt {
    /// Returns the attempt number `seq` of an entry's incarnation.
    pub fn new(entry: &str, incarnation: u64, seq: u64) -> Attempt {
        Attempt(Arc::from(format!("{entry}.{incarnation:x}.{seq:x}")))
    }

    /// Returns an attempt as it came from another process of the system.
    pub fn received(text: &str) -> Attempt {
        Attempt(Arc::from(text))
    }

    /// Returns the name of the entry that made the attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::request::Attempt;
    ///
    /// assert_eq!(Attempt::new("a.b", 7, 1).entry(), "a.b");
    /// ```
    pub fn entry(&self) -> &str {
        self.0.rsplitn(3, '.').nth(2).unwrap_or_default()
    }

    /// Returns the attempt's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
