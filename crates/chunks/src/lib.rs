//! Fetching, storing and serving the chunks of a version.
//!
//! Two kinds of processes do so: the agent of an engine, which stages the
//! chunks at the engine, and the entry, which caches a version for the agents
//! of its data hall while they request it ([`ChunkCache`]). Both look up the
//! manifest ([`find_manifest`]), fetch the missing chunks ([`fetch`]), store
//! them in [`Holdings`] and serve them to other processes ([`ChunkServer`]).
//! [`ChunkOwner`] covers the differences between the two.

mod cache;
mod fetch;
mod find_manifest;
mod holdings;
mod manifest;
mod owner;
mod peers;
mod server;
mod settings;
mod sources;
mod transfer;

pub use self::cache::{CachePeers, ChunkCache, Retention};
pub use self::fetch::fetch;
pub use self::find_manifest::find_manifest;
pub use self::holdings::{ChunkLocation, Holdings};
pub use self::manifest::{VersionManifest, WeightOrigin};
pub use self::owner::{
    ChunkOwner, ChunkStage, FetchContext, Peer, log_failure,
};
pub use self::peers::{
    AnyChunkRequest, CacheStatus, STALL_TIMEOUT, cache_status,
};
pub use self::server::ChunkServer;
pub use self::settings::VersionSettings;
