//! Requests that end each replica on which they run.
//!
//! A caller that gets no answer sends its request again, under another id and
//! to any entry. Where the request itself ends the replica, each try costs a
//! replica and all that runs there. So a request is known over all its tries
//! by what it asks, its [`Fingerprint`], and entries tell one another what
//! became of it ([`PoisonMessage`]).
//!
//! A [`PoisonTable`] counts the replicas that ended under a request *one
//! after the other*: a run counts one more than was known when it was sent.
//! Replicas that end together, as when a rack fails under a request that runs
//! on all of it, count once, and the next run elsewhere clears the request
//! with its whole answer. From the third on the request is quarantined: it is
//! refused at once, and tried again after a while, three times at most.
//!
//! Nothing is agreed upon. [`PoisonRecord`]s of one request are ordered, and
//! the greater one counts, in whatever order and however often they come; what
//! an entry does not know yet makes it count less and never more.

mod admission;
mod fingerprint;
mod message;
mod record;
mod request_state;
mod table;

pub use self::admission::{Admission, Refusal, RefusalReason};
pub use self::fingerprint::{Fingerprint, Identity};
pub use self::message::PoisonMessage;
pub use self::record::{PoisonRecord, Suspicion};
pub use self::table::PoisonTable;

#[cfg(test)]
mod fingerprint_tests;
#[cfg(test)]
mod table_tests;
