//! Identifiers of requests and of attempts to run them.

use std::fmt;
use std::sync::Arc;

use crate::{Code, Error};

/// The idempotency key of one request, as the caller sends it in the
/// `Idempotency-Key` header, qualified by the caller's workspace.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(Arc<str>);

impl Key {
    /// The maximum length of a key in bytes, without the workspace.
    pub const MAX_BYTES: usize = 128;

    /// Returns the key of a workspace's request.
    ///
    /// The key contains the workspace, so that a workspace cannot claim the
    /// keys of another.
    ///
    /// # Errors
    ///
    /// [`Code::BadHeader`] unless `text` has 1 to [`Key::MAX_BYTES`] visible
    /// ASCII characters.
    pub fn new(workspace: &str, text: &str) -> Result<Key, Error> {
        let valid_length = (1..=Key::MAX_BYTES).contains(&text.len());
        if !valid_length || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::new(
                Code::BadHeader,
                format_args!(
                    "key of {} bytes, \
                     allowed: 1 to {} visible ASCII characters",
                    text.len(),
                    Key::MAX_BYTES
                ),
            ));
        }
        Ok(Key(Arc::from(format!("{workspace}/{text}"))))
    }

    /// Returns a key received from another process of the system, without
    /// checking it.
    pub fn received(text: &str) -> Key {
        Key(Arc::from(text))
    }

    /// Returns the key as `workspace/text`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies one attempt to run a request at one agent; never reused.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(Arc<str>);

impl Attempt {
    /// Returns the identifier of the attempt with sequence number `seq` of an
    /// entry's incarnation.
    pub fn new(entry: &str, incarnation: u64, seq: u64) -> Attempt {
        Attempt(Arc::from(format!("{entry}.{incarnation:x}.{seq:x}")))
    }

    /// Returns an identifier received from another process of the system,
    /// without checking it.
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

    /// Returns the identifier as text, such as `entry-1.1f.2a`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
