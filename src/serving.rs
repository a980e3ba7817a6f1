//! Which version an instance serves, and when it admits requests.
//!
//! [`Lifecycle`] is the state machine of one agent. [`Fence`] is the fencing
//! token that makes an engine accept orders from one agent at a time and in
//! the order in which the agent gave them. [`CatchUp`] tells when a process
//! that has started or was paused knows again what its peers know.

mod catch_up;
mod fence;
mod lifecycle;
mod loaded_target;
mod pause_detector;

pub use self::catch_up::{CatchUp, CatchUpEnd, CatchUpPeers, CatchUpStep};
pub use self::fence::{Fence, Lease};
pub use self::lifecycle::{Action, Event, Lifecycle, Phase, Target};
pub use self::loaded_target::LoadedTarget;
pub use self::pause_detector::PauseDetector;

#[cfg(test)]
mod tests;
