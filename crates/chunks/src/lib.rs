//! Drawing, holding and passing on the chunks of a version.
//!
//! Two kinds of processes do so: the agent beside an engine, which stages
//! what it draws, and the entry, which holds a version for the agents of its
//! data hall while they want it ([`ChunkCache`]). Both find the manifest
//! ([`find_manifest`]), draw what is missing ([`fetch`]), keep it in
//! [`Holdings`] and answer the questions of others ([`ChunkServer`]). What
//! differs between them is behind [`ChunkOwner`].

mod cache;
mod fetch;
mod find_manifest;
mod holdings;
mod manifest;
mod owner;
mod peers;
mod server;
mod sources;
mod transfer;

pub use self::cache::{CachePeers, ChunkCache};
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
