//! The agent of an engine that takes staged chunks and load orders.
//!
//! It stands beside one engine and not in any request's way. It draws the
//! chunks of the version wanted ([`stairhinge_chunks`]), stages them at the
//! engine ([`fetch_owner`]), sends them on to peers ([`serve`]), and orders
//! the load when its turn comes ([`drive`]). What it knows of the engine goes
//! to the entries as a feed ([`watch_engine`], [`feed`]).

mod agent;
mod drive;
mod engine;
mod entry_turn;
mod feed;
mod fetch_owner;
mod first_report;
mod hall_entries;
mod listeners;
mod peer_list;
mod read_routes;
mod serve;
mod settings;
mod staging;
mod succession;
mod turn;
mod watch_engine;
mod watch_link;

pub use self::agent::run;
pub use self::engine::{EngineState, LoadOrder, LoadOutcome, StagedEngine};
pub use self::settings::AgentSettings;
