//! The difference between two texts that differ in several places.
//!
//! A [`Delta`](super::Delta) replaces one range. A document of many records
//! has its revision near its start and changes in another place as well, so a
//! delta would contain nearly all of it. A patch refers to every record that
//! both texts have in common and contains only the others.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Code, Digest, Error};

/// The change from one text to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    parts: Vec<Part>,
    /// The digest of the resulting text.
    digest: String,
}

/// A part of the later text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Part {
    /// Copies records of the old text: the index of the first, and how many.
    Keep(usize, usize),
    /// Inserts text.
    Add(String),
}

/// The last character of each record of a document.
const RECORD_END: char = '}';

impl Patch {
    /// Returns the patch from `old` to `new`.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::document::Patch;
    ///
    /// let old = r#"{"revision":1,"routes":[{"a":1},{"b":1}]}"#;
    /// let new = r#"{"revision":2,"routes":[{"a":1},{"b":1}]}"#;
    /// assert_eq!(Patch::between(old, new).apply(old).unwrap(), new);
    /// ```
    pub fn between(old: &str, new: &str) -> Patch {
        let old_records: Vec<&str> = old.split_inclusive(RECORD_END).collect();
        let mut indices: HashMap<&str, usize> = HashMap::new();
        for (index, record) in old_records.iter().enumerate() {
            indices.entry(record).or_insert(index);
        }
        let mut parts = Vec::new();
        for record in new.split_inclusive(RECORD_END) {
            // Prefers the record after the last one copied, so that a run of
            // records stays one part even if some of them occur twice.
            let next = match parts.last() {
                Some(Part::Keep(start, count)) => Some(start + count),
                _ => None,
            };
            let continued =
                next.filter(|n| old_records.get(*n) == Some(&record));
            let index = continued.or_else(|| indices.get(record).copied());
            match (parts.last_mut(), index) {
                (Some(Part::Keep(_, count)), Some(_))
                    if continued.is_some() =>
                {
                    *count += 1;
                }
                (_, Some(index)) => parts.push(Part::Keep(index, 1)),
                (Some(Part::Add(text)), None) => text.push_str(record),
                (_, None) => parts.push(Part::Add(record.to_string())),
            }
        }
        let digest = Digest::of(new.as_bytes()).to_string();
        Patch { parts, digest }
    }

    /// Returns the approximate size of the encoded patch in bytes.
    pub fn size(&self) -> usize {
        const KEEP_BYTES: usize = 20;
        let size = |part: &Part| match part {
            Part::Keep(..) => KEEP_BYTES,
            Part::Add(text) => text.len(),
        };
        self.parts.iter().map(size).sum()
    }

    /// Applies the patch to the text that it was computed from.
    ///
    /// # Errors
    ///
    /// [`Code::OtherDigest`] if `old` is another text, so that the result does
    /// not have the expected digest.
    pub fn apply(&self, old: &str) -> Result<String, Error> {
        let records: Vec<&str> = old.split_inclusive(RECORD_END).collect();
        let mut new = String::new();
        for part in &self.parts {
            match part {
                Part::Add(text) => new.push_str(text),
                Part::Keep(start, count) => {
                    let end = start.saturating_add(*count);
                    let kept =
                        records.get(*start..end).ok_or_else(mismatch)?;
                    for record in kept {
                        new.push_str(record);
                    }
                }
            }
        }
        if Digest::of(new.as_bytes()).to_string() == self.digest {
            Ok(new)
        } else {
            Err(mismatch())
        }
    }
}

fn mismatch() -> Error {
    Error::new(Code::OtherDigest, "the patch was computed from another text")
}
