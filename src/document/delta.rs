//! The difference between two revisions of a document, as one replaced range.
//!
//! Most changes touch one place of a declaration, and a declaration of the
//! target size has some hundred kilobytes. Sending it whole at 11,000
//! changes a day would exceed the control traffic limit of each process more
//! than ten times. A peer that names the revision it holds therefore receives
//! only the bytes between the common prefix and the common suffix.

use super::{Document, Seen};
use crate::{Code, Error};

/// The change from one revision of a document to a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    to: Seen,
    prefix_len: usize,
    suffix_len: usize,
    inserted: Vec<u8>,
}

impl Delta {
    /// Returns the delta from `old` to `new`.
    pub fn between(old: &Document, new: &Document) -> Delta {
        let (a, b) = (old.bytes(), new.bytes());
        let prefix_len =
            a.iter().zip(b.iter()).take_while(|(x, y)| x == y).count();
        let max_suffix_len = a.len().min(b.len()) - prefix_len;
        let reversed = a.iter().rev().zip(b.iter().rev());
        let suffix_len =
            reversed.take(max_suffix_len).take_while(|(x, y)| x == y).count();
        let inserted = b[prefix_len..b.len() - suffix_len].to_vec();
        Delta { to: new.seen(), prefix_len, suffix_len, inserted }
    }

    /// Returns a delta from the parts received from another process; see
    /// [`Delta::parts`].
    pub const fn from_parts(
        to: Seen,
        prefix_len: usize,
        suffix_len: usize,
        inserted: Vec<u8>,
    ) -> Delta {
        Delta { to, prefix_len, suffix_len, inserted }
    }

    /// Returns the revision and digest of the resulting document.
    pub const fn to(&self) -> Seen {
        self.to
    }

    /// Returns the number of bytes kept from the start of the old document,
    /// the number kept from its end, and the bytes inserted between the two.
    pub fn parts(&self) -> (usize, usize, &[u8]) {
        (self.prefix_len, self.suffix_len, &self.inserted)
    }

    /// Applies the delta to the document that it was computed from.
    ///
    /// # Errors
    ///
    /// [`Code::OtherDigest`] if `old` is another document, so that the result
    /// does not have the expected digest.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::document::{Delta, Document};
    ///
    /// let old = Document::new(1, *b"replicas: 4");
    /// let new = Document::new(2, *b"replicas: 12");
    /// let delta = Delta::between(&old, &new);
    /// assert_eq!(delta.apply(&old).unwrap(), new);
    /// ```
    pub fn apply(&self, old: &Document) -> Result<Document, Error> {
        let old_bytes = old.bytes();
        let mismatch = || {
            let message = format!(
                "the delta to revision {} does not apply to the held document",
                self.to.revision()
            );
            Error::new(Code::OtherDigest, message)
        };
        let kept_len = self
            .prefix_len
            .checked_add(self.suffix_len)
            .ok_or_else(mismatch)?;
        if kept_len > old_bytes.len() {
            return Err(mismatch());
        }
        let mut new_bytes = old_bytes[..self.prefix_len].to_vec();
        new_bytes.extend_from_slice(&self.inserted);
        new_bytes.extend_from_slice(
            &old_bytes[old_bytes.len() - self.suffix_len..],
        );
        let new = Document::new(self.to.revision(), new_bytes);
        if new.seen() == self.to { Ok(new) } else { Err(mismatch()) }
    }
}
