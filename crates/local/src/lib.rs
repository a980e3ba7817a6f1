//! A whole fleet on loopback in one process: stand-ins, agents and entries.
//!
//! Each role runs on a thread and runtime of its own and meets the others
//! only over sockets, so that one of them can be killed and started again as
//! a process would be. Demo, bench and tests build on it.

mod calls;
mod cell;
mod fleet;
mod kept_engine;
mod launch;
mod plan;
mod ready;

pub use self::calls::{Answer, Caller, Tally, verdict};
pub use self::cell::Cell;
pub use self::fleet::{Local, Member};
pub use self::plan::{Plan, Version};
pub use self::ready::{Trial, until};
