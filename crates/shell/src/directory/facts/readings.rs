//! How far the collections have been read since the start of the process.
//!
//! A replica that is absent from a list which has not been read may exist. So
//! what is refused, logged and measured tells an empty list from one that has
//! not been read, or not to its end.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use stairhinge::Error;

use super::Facts;
use crate::directory::Collection;

/// How much of a collection has been read since the start.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ReadState {
    /// Nothing.
    #[default]
    Unread,
    /// A part, so that it may hold more than is known.
    Partial,
    /// All of it, once or more often.
    Whole,
}

impl ReadState {
    /// Returns its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            ReadState::Unread => "unread",
            ReadState::Partial => "partial",
            ReadState::Whole => "whole",
        }
    }
}

/// How far a collection has been read, and why no further.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// How much of it is known.
    pub state: ReadState,
    /// Why the last read failed, unless one has succeeded since.
    pub failure: Option<Error>,
}

/// The readings of all collections.
#[derive(Debug, Default)]
pub(super) struct Readings(Mutex<BTreeMap<Collection, Reading>>);

impl Readings {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Collection, Reading>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Facts {
    /// Returns how far a collection has been read.
    pub fn reading(&self, collection: Collection) -> Reading {
        self.readings.lock().get(&collection).cloned().unwrap_or_default()
    }

    /// Records that all of a collection is known.
    pub fn note_whole(&self, collection: Collection) {
        let reading = Reading { state: ReadState::Whole, failure: None };
        self.readings.lock().insert(collection, reading);
    }

    /// Records that a part of a collection is known, and perhaps not all.
    pub fn note_partial(&self, collection: Collection) {
        let mut readings = self.readings.lock();
        let reading = readings.entry(collection).or_default();
        reading.state = reading.state.max(ReadState::Partial);
    }

    /// Records that a read of a collection failed.
    pub fn note_unread(&self, collection: Collection, failure: &Error) {
        let mut readings = self.readings.lock();
        let reading = readings.entry(collection).or_default();
        reading.failure = Some(failure.clone());
    }
}
