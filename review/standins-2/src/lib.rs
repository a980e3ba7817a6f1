//! Stand-ins of the users' platform for the cases of the second review:
//! a store, replicas, clients, and the runner of the project's programs.
//! Only the standard library is used.

pub mod engine;
pub mod http;
pub mod record;
pub mod replica;
pub mod sha256;
pub mod site;
pub mod store;
