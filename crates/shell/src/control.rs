//! Control calls between processes, over Cap'n Proto RPC.
//!
//! The RPC library's types cannot move between threads, so each process has
//! one thread for all incoming and outgoing control calls, whatever the number
//! of roles in it. [`Wire`] is the handle to that thread; incoming calls are
//! handled by a [`Control`].

mod convert;
mod counted;
mod fleet;
mod links;
mod report;
mod serve;
mod service;
mod wire;

pub use self::report::Report;
pub use self::service::{
    ClaimRequest, Control, Grant, News, PoisonUpdate, Pulled,
};
pub use self::wire::Wire;
