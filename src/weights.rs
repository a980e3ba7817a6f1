//! Distribution of weights to all replicas.
//!
//! There is no coordinator, and no process announces what it holds. A version
//! is a [`Manifest`] of chunks identified by digest. A [`SourceRanking`] ranks
//! the sources of each chunk, consistently on every process. A [`Puller`] asks
//! each source for any of the chunks that the source is responsible for, and
//! the source answers as soon as it holds one. A source that fails or stays
//! silent is suspect for a while, and its chunks pass to the next source in
//! rank order. A failed seed thus costs time but doesn't make all agents fetch
//! from the origin at once. `DESIGN.md` discusses the alternatives.

mod chunk_request;
mod chunk_store;
mod distribution_bound;
mod fetch_choice;
mod fetch_pace;
mod fetch_timeouts;
mod link_share;
mod manifest;
mod manifest_source;
mod puller;
mod request_queue;
mod retention;
mod source_ranking;
mod token_bucket;
mod version_choice;

pub use self::chunk_request::ChunkRequest;
pub use self::chunk_store::ChunkStore;
pub use self::distribution_bound::{DistributionBound, Duplex};
pub use self::fetch_choice::{FetchCandidate, FetchLimits, choose_fetch};
pub use self::fetch_pace::FetchPace;
pub use self::fetch_timeouts::{FetchTimeouts, Takeover};
pub use self::link_share::LinkShare;
pub use self::manifest::{Chunk, Manifest};
pub use self::manifest_source::ManifestSource;
pub use self::puller::Puller;
pub use self::request_queue::RequestQueue;
pub use self::retention::{RetainedVersion, versions_to_evict};
pub use self::source_ranking::{Source, SourceRanking};
pub use self::token_bucket::TokenBucket;
pub use self::version_choice::{
    ChunkTransferTimes, VersionCandidate, choose_version,
};

#[cfg(test)]
mod cache_tests;

#[cfg(test)]
mod tests;

#[cfg(test)]
mod outage_tests;

#[cfg(test)]
mod puller_tests;

#[cfg(test)]
mod request_queue_tests;

#[cfg(test)]
mod version_choice_tests;

#[cfg(test)]
mod takeover_tests;

#[cfg(test)]
mod tree_tests;

#[cfg(test)]
mod exchange_tests;

#[cfg(test)]
mod fetch_choice_tests;

#[cfg(test)]
mod succession_tests;
