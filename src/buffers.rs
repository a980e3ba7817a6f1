//! Accounting of the bytes that a process buffers between senders and readers.
//!
//! A reader that is slower than its sender makes the process between them
//! buffer. A [`BufferAccount`] counts what is buffered by connection, by
//! workspace and in total, and decides for each further piece whether it may
//! be read from the sender now. While it may not, the sender is left to wait
//! (back-pressure). A connection whose reader has taken nothing for a while is
//! to be cut, sooner if the process is short of buffers.
//!
//! Each connection may hold [`BufferBounds::FLOOR`] bytes whatever others
//! hold, so a caller that reads at the usual pace does not wait for slow ones.

mod account;
mod bounds;

pub use self::account::{
    BufferAccount, BufferLimit, BufferUse, HolderId, Room,
};
pub use self::bounds::BufferBounds;

#[cfg(test)]
mod account_tests;
