//! Which version an instance serves, and when it admits requests.
//!
//! [`Lifecycle`] is the state machine of one agent. [`Fence`] is the fencing
//! token that makes an engine accept orders from one agent at a time and in
//! the order in which the agent gave them.

mod fence;
mod lifecycle;
mod loaded_target;
mod pause_detector;

pub use self::fence::{Fence, Lease};
pub use self::lifecycle::{Action, Event, Lifecycle, Phase, Target};
pub use self::loaded_target::LoadedTarget;
pub use self::pause_detector::PauseDetector;

#[cfg(test)]
mod tests;
