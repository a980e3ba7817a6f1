//! The agent of an engine that accepts staged chunks and load orders.
//!
//! An agent runs beside one engine and is not on the path of requests. It
//! fetches the chunks of the target version ([`stairhinge_chunks`]), stages
//! them at the engine ([`fetch_owner`]), serves them to peers ([`serve`]), and
//! orders the load ([`load`]) when the replica's turn in the rollout comes
//! ([`reconcile`]).
//! It streams the engine's state to the entries ([`watch_engine`],
//! [`feed`]).

mod agent;
mod engine;
mod entry_rotation;
mod feed;
mod fetch_owner;
mod first_report;
mod hall_entries;
mod load;
mod load_history;
mod peer_list;
mod read_routes;
mod reconcile;
mod serve;
mod settings;
mod staging;
mod start;
mod subscribers;
mod turn;
mod version_selection;
mod watch_engine;
mod watch_link;

pub use self::agent::run;
pub use self::engine::{EngineState, LoadOrder, LoadOutcome, StagedEngine};
pub use self::settings::AgentSettings;
