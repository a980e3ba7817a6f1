//! The events that processes log, and their order over all processes.
//!
//! Each process logs its events as JSON lines. [`Event`] is one of them,
//! [`merge`] puts the events of many processes into one causal order, and the
//! operator's `timeline` command prints the result.

mod line;
mod timeline;

pub use self::line::Event;
pub use self::timeline::{Filter, merge, render_svg};

#[cfg(test)]
mod tests;
