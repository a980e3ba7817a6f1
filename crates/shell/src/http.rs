//! HTTP client and server on hyper, with configurable limits.

mod body;
mod client;
mod encode;
mod fail;
pub mod headers;
mod server;
mod status;

pub use self::body::{
    Body, BodyError, BodyPace, empty, full, full_ahead, full_in_turn, read,
    read_steady, shaped, stream,
};
pub use self::client::{CallError, Client};
pub use self::encode::{decoded, query_value, segment};
pub use self::fail::{Failed, answer};
pub use self::server::{ConnectionHandle, Handler, Limits, serve};
pub use self::status::is_final;
