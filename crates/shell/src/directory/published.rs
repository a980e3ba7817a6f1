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
}

impl Published {
    /// Returns the time of a publication that the process was waiting for.
    pub const fn at(time: Time) -> Published {
        Published { earliest: Some(time), observed: Some(time) }
    }

    /// Returns the time of a publication after `earliest`.
    pub const fn after(earliest: Option<Time>) -> Published {
        Published { earliest, observed: None }
    }
}
