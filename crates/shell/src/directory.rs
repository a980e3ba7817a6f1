//! What a platform publishes, and what a process believes of it.
//!
//! A [`Directory`] reads the platform, a [`CountedDirectory`] tells how often.
//! [`follow`] keeps reading it, by waiting watches, and hands what it learns
//! to [`Facts`], which only go forward. [`Share`] hands it on to others of the
//! hall, so that few have to read. Nothing here knows how a platform spells
//! its records.

mod counted;
mod facts;
mod follow;
mod held_documents;
mod news;
mod records;
mod share;
mod shared_messages;
mod sharing;
mod source;

pub use self::counted::{CallKind, CountedDirectory};
pub use self::facts::{EvacuationAge, Facts, FactsView, Standing, TargetAge};
pub use self::follow::{Follow, follow};
pub use self::news::News;
pub use self::records::{
    Change, Collection, Directory, Freshness, Listing, Record, Watched,
};
pub use self::share::Share;
pub use self::shared_messages::{
    HallNews, HallReader, ReaderAnswer, SharedAnswer, SharedQuestion,
    SharedReplicas, SharedRoutes,
};
pub use self::sharing::Sharing;
pub use self::source::Source;
