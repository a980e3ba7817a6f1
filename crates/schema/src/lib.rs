//! Generated code of `schema/fleet.capnp`.
//!
//! It is committed so that a build needs no generator. `schema/README.md`
//! says how to make it anew.

#![allow(clippy::all, missing_docs, unused_qualifications)]

#[rustfmt::skip]
pub mod fleet_capnp;
