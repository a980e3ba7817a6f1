//! When a record was published, as far as a process can tell.

use stairhinge::Time;

/// When a record was published, in terms of the process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Published {
    /// A time before the publication, at which the process knew all records
    /// published until then.
    pub earliest: Option<Time>,
    /// The time of the publication, if the process was waiting for it.
    pub observed: Option<Time>,
    /// Whether the process also knows, or has read before this record, all
    /// records of its kind that were published before it.
    pub gapless: bool,
}

impl Published {
    /// Returns the time of a publication that the process was waiting for.
    pub const fn at(time: Time) -> Published {
        let (earliest, observed) = (Some(time), Some(time));
        Published { earliest, observed, gapless: false }
    }

    /// Returns the time of a publication after `earliest`.
    pub const fn after(earliest: Option<Time>) -> Published {
        Published { earliest, observed: None, gapless: false }
    }

    /// Returns the same publication as read by a watch, which returns all
    /// changes since a revision at which the process knew everything.
    pub const fn watched(self) -> Published {
        Published { gapless: true, ..self }
    }
}
