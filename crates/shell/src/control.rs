//! Calls between the system's processes, over Cap'n Proto RPC.
//!
//! The RPC library is bound to one thread, so each process has one thread
//! for all its control calls, in and out, whatever the number of roles in it.
//! [`Wire`] is the handle to that thread; what comes in goes to a
//! [`Control`].

mod convert;
mod counted;
mod fleet;
mod links;
mod report;
mod serve;
mod service;
mod wire;

pub use self::report::Report;
pub use self::service::{ClaimAsk, Control, Grant, News, PoisonTold, Pulled};
pub use self::wire::Wire;
