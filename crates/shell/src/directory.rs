//! The records that a platform publishes, and a process's view of them.
//!
//! A [`Directory`] reads the platform; a [`CountedDirectory`] also counts the
//! calls. [`follow`] keeps a process up to date with long-polling watches and
//! updates [`Facts`], which never go back to an older revision. [`Share`]
//! serves the view to other processes of the data hall, so that few of them
//! have to call the platform. This module is independent of the platform's
//! encoding of its records.

mod counted;
mod facts;
mod follow;
mod held_documents;
mod news;
mod partial_listing;
mod published;
mod records;
mod share;
mod shared_messages;
mod sharing;
mod source;

pub use self::counted::{CallKind, CountedDirectory};
pub use self::facts::{
    EvacuationAge, Facts, FactsView, ReadState, Reading, Standing, TargetAge,
};
pub use self::follow::{Follow, follow};
pub use self::news::News;
pub use self::partial_listing::{PartialListing, UnreadNames};
pub use self::published::Published;
pub use self::records::{
    Change, Collection, Directory, Freshness, Listing, Record, Watched,
};
pub use self::share::Share;
pub use self::shared_messages::{
    HallAnswer, HallReader, ReaderAnswer, SharedAnswer, SharedQuestion,
    SharedReplicas, SharedRoutes,
};
pub use self::sharing::Sharing;
pub use self::source::Source;
