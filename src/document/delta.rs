//! The difference between two revisions of a document.
//!
//! Most changes touch one place of a declaration, and a declaration of the
//! target size has some hundred kilobytes; sent whole at 11,000 changes a day
//! it would cost each process more than ten times the control bytes that it
//! may spend. So a peer that names what it holds gets only what lies between
//! the parts that did not change.

use super::{Document, Seen};
use crate::{Code, Error};

/// What turns one revision of a document into a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    to: Seen,
    head: usize,
    tail: usize,
    middle: Vec<u8>,
}

impl Delta {
    /// Returns the difference from `old` to `new`.
    pub fn between(old: &Document, new: &Document) -> Delta {
        let (a, b) = (old.bytes(), new.bytes());
        let head = a.iter().zip(b.iter()).take_while(|(x, y)| x == y).count();
        let most = a.len().min(b.len()) - head;
        let ends = a.iter().rev().zip(b.iter().rev());
        let tail = ends.take(most).take_while(|(x, y)| x == y).count();
        let middle = b[head..b.len() - tail].to_vec();
        Delta { to: new.seen(), head, tail, middle }
    }

    /// Returns a difference as it came from another process.
    pub const fn from_parts(
        to: Seen,
        head: usize,
        tail: usize,
        middle: Vec<u8>,
    ) -> Delta {
        Delta { to, head, tail, middle }
    }

    /// Returns the revision and digest that it leads to.
    pub const fn to(&self) -> Seen {
        self.to
    }

    /// Returns the bytes kept from the start and from the end of the old one,
    /// and those that go between.
    pub fn parts(&self) -> (usize, usize, &[u8]) {
        (self.head, self.tail, &self.middle)
    }

    /// Applies it to the document that it was made from.
    ///
    /// # Errors
    ///
    /// [`Code::OtherDigest`] if what comes out is not what it leads to.
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
        let bytes = old.bytes();
        let wrong = || {
            let why = format!("no way to revision {}", self.to.revision());
            Error::new(Code::OtherDigest, why)
        };
        let kept = self.head.checked_add(self.tail).ok_or_else(wrong)?;
        if kept > bytes.len() {
            return Err(wrong());
        }
        let mut out = bytes[..self.head].to_vec();
        out.extend_from_slice(&self.middle);
        out.extend_from_slice(&bytes[bytes.len() - self.tail..]);
        let new = Document::new(self.to.revision(), out);
        if new.seen() == self.to { Ok(new) } else { Err(wrong()) }
    }
}
