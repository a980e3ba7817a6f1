//! Bounds on buffered bytes.

use std::time::Duration;

use crate::Error;

/// The bounds of a [`BufferAccount`](super::BufferAccount).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferBounds {
    connection: u64,
    workspace: u64,
    process: u64,
    unread: Duration,
}

impl BufferBounds {
    /// The bytes that each connection may hold whatever others hold. An answer
    /// of a model, of some tens of events, fits.
    pub const FLOOR: u64 = 16 * 1024;

    /// The smallest bound of a connection, in bytes. The account of a
    /// connection includes what the HTTP library holds until the socket takes
    /// it.
    pub const MIN_CONNECTION: u64 = 4 * BufferBounds::FLOOR;

    /// The shortest time after which an unread answer is cut.
    pub const MIN_UNREAD: Duration = Duration::from_millis(100);

    /// The divisor of the unread time while the process is short of buffers.
    const PRESSURE_DIVISOR: u32 = 4;

    /// Returns bounds in bytes for each connection, each workspace and the
    /// process, with the time after which an unread answer is cut.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`](crate::Code::OutOfRange) if a bound is below
    /// [`BufferBounds::MIN_CONNECTION`] or above the next one, or if the time
    /// is below [`BufferBounds::MIN_UNREAD`].
    pub fn new(
        connection: u64,
        workspace: u64,
        process: u64,
        unread: Duration,
    ) -> Result<BufferBounds, Error> {
        for (field, value, min) in [
            ("buffers.connection", connection, BufferBounds::MIN_CONNECTION),
            ("buffers.workspace", workspace, connection),
            ("buffers.process", process, workspace),
        ] {
            if value < min {
                let allowed = format_args!("{min} bytes or more");
                return Err(Error::range(field, value, allowed));
            }
        }
        if unread < BufferBounds::MIN_UNREAD {
            let min = BufferBounds::MIN_UNREAD.as_millis();
            let allowed = format_args!("{min} ms or more");
            let unread = unread.as_millis();
            return Err(Error::range("buffers.unread", unread, allowed));
        }
        Ok(BufferBounds { connection, workspace, process, unread })
    }

    /// Returns the maximum bytes of one connection.
    pub const fn connection(&self) -> u64 {
        self.connection
    }

    /// Returns the maximum bytes of one workspace.
    pub const fn workspace(&self) -> u64 {
        self.workspace
    }

    /// Returns the maximum bytes of the process.
    pub const fn process(&self) -> u64 {
        self.process
    }

    /// Returns the bytes up to which connections may hold more than the floor.
    /// The rest is reserved for connections that hold less.
    pub const fn shared(&self) -> u64 {
        self.process / 4 * 3
    }

    /// Returns how long a reader may take nothing while the process holds
    /// `total` bytes.
    pub fn unread(&self, total: u64) -> Duration {
        if total > self.shared() {
            self.unread / BufferBounds::PRESSURE_DIVISOR
        } else {
            self.unread
        }
    }
}
