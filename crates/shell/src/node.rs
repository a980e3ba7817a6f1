//! The shared state of one process: documents, peers, its own status.
//!
//! [`Node`] is shared by all tasks of a process. Requests read its
//! [`View`] without a lock; the tasks that poll the platform and exchange
//! with peers replace the whole view when they accept a newer document.

mod catch_up;
mod documents;
mod feed;
mod gossip;
mod identity;
mod peers;
mod poison;
mod run_claim;
mod state;
mod view;

pub use self::identity::Identity;
pub use self::peers::{Peers, ReceivedReport};
pub use self::run_claim::AdmittedRun;
pub use self::state::{Node, wall};
pub use self::view::View;
