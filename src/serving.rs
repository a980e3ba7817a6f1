//! When an instance may serve a version.
//!
//! [`Lifecycle`] is the state machine of one agent; [`Fence`] makes sure that
//! an engine takes orders from one agent at a time, in order.

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
