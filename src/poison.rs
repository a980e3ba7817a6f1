//! Requests that end each replica on which they run.
//!
//! A caller that gets no answer sends its request again, under another id and
//! to any entry. Where the request itself ends the replica, each try costs a
//! replica and all that runs there. So a request is known over all its tries
//! by what it asks, its [`Fingerprint`].

mod fingerprint;

pub use self::fingerprint::{Fingerprint, Identity};

#[cfg(test)]
mod tests;
