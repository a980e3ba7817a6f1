//! How weights reach every replica.
//!
//! There is no coordinator and nobody announces what it holds. A version is a
//! [`Manifest`] of chunks named by digest; a [`Walk`] ranks, for each chunk,
//! who may be asked for it, the same on every process; a [`Puller`] asks each
//! source for any of the chunks that it is first in charge of, and the source
//! answers as soon as it holds one. A source that fails or stays silent is
//! suspect for a while, and the chunks pass to the next in rank, so a dead
//! seed costs time and not a herd of draws on the origin. `DESIGN.md` has
//! what was weighed.

mod bound;
mod bucket;
mod chunk_request;
mod fetch_pace;
mod link_share;
mod manifest;
mod manifest_source;
mod patience;
mod puller;
mod question_queue;
mod store;
mod succession;
mod walk;

pub use self::bound::{Bound, Link};
pub use self::bucket::Bucket;
pub use self::chunk_request::ChunkRequest;
pub use self::fetch_pace::FetchPace;
pub use self::link_share::LinkShare;
pub use self::manifest::{Chunk, Manifest};
pub use self::manifest_source::ManifestSource;
pub use self::patience::{Patience, Takeover};
pub use self::puller::Puller;
pub use self::question_queue::QuestionQueue;
pub use self::store::Store;
pub use self::succession::{ChunkTimes, Prospect, choose_version};
pub use self::walk::{Source, Walk};

#[cfg(test)]
mod cache_tests;

#[cfg(test)]
mod tests;

#[cfg(test)]
mod outage_tests;

#[cfg(test)]
mod puller_tests;

#[cfg(test)]
mod question_queue_tests;

#[cfg(test)]
mod succession_tests;

#[cfg(test)]
mod takeover_tests;

#[cfg(test)]
mod tree_tests;
