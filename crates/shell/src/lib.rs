//! The I/O layer that all stairhinge programs share.
//!
//! * [`settings`] reads and checks settings files.
//! * [`http`] serves and calls HTTP within limits.
//! * [`control`] carries calls between processes over Cap'n Proto RPC.
//! * [`directory`] reads what a platform publishes.
//! * [`decisions`] writes the log of decisions with their causes.
//! * [`node`] holds the state of one process: documents, peers, its own state.
//!
//! This crate contains no decision logic: that is in the `stairhinge` crate.

pub mod control;
pub mod decisions;
pub mod directory;
pub mod http;
pub mod node;
pub mod packed;
pub mod settings;

mod end_report;
mod link;
mod listeners;
mod live_settings;
mod logs;
mod metrics;
mod rate;
mod read_settings;
mod refused;
mod settings_watch;
mod shutdown;
mod start_report;

pub use self::end_report::{report_end, report_panics};
pub use self::link::LinkMbps;
pub use self::listeners::Listeners;
pub use self::live_settings::{LiveSettings, Settings};
pub use self::logs::{start as start_logs, to_report};
pub use self::metrics::Metrics;
pub use self::rate::Shaper;
pub use self::read_settings::read_settings;
pub use self::refused::is_connection_refused;
pub use self::settings_watch::{SettingsSource, SettingsWatch};
pub use self::shutdown::{
    HangUps, Shutdown, Stopper, on_signals, stop_on_signals,
};
pub use self::start_report::{Obstacle, report_start};
