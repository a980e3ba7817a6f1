//! Events and the time line over all processes.
//!
//! Each process logs events as JSON lines. [`Event`] is one of them,
//! [`merge`] puts those of many processes into one causal order, and the
//! operator's `timeline` shows them.

mod line;
mod timeline;

pub use self::line::Event;
pub use self::timeline::{Filter, merge, render_svg};

#[cfg(test)]
mod tests;
