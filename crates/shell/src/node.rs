//! What one process knows and says: documents, peers, its own state.
//!
//! [`Node`] is shared by all tasks of a process. Requests read its
//! [`View`] without a lock; the feed and the exchanges with peers replace the
//! view as a whole when something newer has been taken.

mod documents;
mod feed;
mod gossip;
mod identity;
mod peers;
mod poison;
mod state;
mod view;

pub use self::identity::Identity;
pub use self::peers::{Heard, Peers};
pub use self::state::{Node, wall};
pub use self::view::View;
