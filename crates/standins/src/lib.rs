//! Small stand-ins for what the platform brings: its configuration service
//! and instance list, the origin of weights, model engines and plain
//! services. They speak the published protocols that the system meets, keep a
//! record of what they did, and can be told to fail. For tests, demo and
//! bench only.

mod batch;
mod door;
mod engine;
mod faults;
mod gate;
mod origin;
mod pack;
mod plan;
mod platform;
mod run;
mod service;

pub use self::door::Door;
pub use self::engine::{Engine, EngineSettings, Record};
pub use self::faults::Faults;
pub use self::gate::Gate;
pub use self::origin::Origin;
pub use self::pack::{Pack, weights};
pub use self::plan::{Later, Span};
pub use self::platform::{Mode, Platform};
pub use self::run::{Running, StandIn, limits, start};
pub use self::service::Service;
