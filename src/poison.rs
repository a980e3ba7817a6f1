//! Quarantine for requests that crash the replicas on which they run.
//!
//! A client that gets no answer repeats its request, with another id and
//! possibly through another entry. If the request itself causes the crash,
//! each repetition costs a replica and everything that runs there; the request
//! is *poisoned*. Therefore a request is identified across repetitions by its
//! content, the [`Fingerprint`], and entries inform one another of its
//! outcomes ([`PoisonMessage`]).
//!
//! A [`PoisonTable`] counts the replicas that crashed under a request *in
//! succession*: a run that crashes a replica sets the count to one more than
//! was known when the run was started. Replicas that crash together, such as
//! when a rack fails while a request runs on all its replicas, therefore count
//! once, and the first complete answer to the request resets the count. At
//! [`Suspicion::QUARANTINE_THRESHOLD`] crashes the request is quarantined: it
//! is refused immediately and retried only after a delay, at most three times.
//!
//! A crash says nothing about the request if replicas that did not run it exit
//! at the same time ([`PoisonTable::record_exit`]). If replicas crash together
//! under a request, its next runs therefore share one replica
//! ([`PoisonTable::shares_replica`]). A crash that coincides with other exits
//! is withdrawn ([`PoisonTable::review`]).
//!
//! A part of a prompt may crash replicas whatever else the request holds, so a
//! request is also recognised by the parts that others share
//! ([`RequestFeatures`]). Since a crash ends requests that are not at fault as
//! well, and these share parts with those that are, parts are not counted like
//! requests: all crashes and complete answers are taken together, and a part
//! is quarantined once it explains three crashes that no other one explains
//! ([`PoisonTable::judge`]). Entries exchange what they know of crashes
//! ([`CrashReport`]).
//!
//! There is no consensus protocol. The [`PoisonRecord`]s of a request are
//! totally ordered and the greatest one is kept, so records may arrive in any
//! order and any number of times. An entry that has not received a record yet
//! can only underestimate the count.

mod admission;
mod claim;
mod culprits;
mod evidence;
mod exits;
mod features;
mod fingerprint;
mod message;
mod page;
mod record;
mod report;
mod request_state;
mod table;
mod table_parts;

pub use self::admission::{Admission, Refusal, RefusalReason};
pub use self::claim::{ClaimStage, HeardClaim, RunClaim};
pub use self::features::RequestFeatures;
pub use self::fingerprint::{Fingerprint, Identity};
pub use self::message::PoisonMessage;
pub use self::page::{PagePosition, TablePage};
pub use self::record::{PoisonRecord, Suspicion};
pub use self::report::CrashReport;
pub use self::table::PoisonTable;
pub use self::table_parts::Judgement;

#[cfg(test)]
mod culprits_tests;
#[cfg(test)]
mod exits_tests;
#[cfg(test)]
mod fingerprint_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod parts_tests;
#[cfg(test)]
mod table_tests;
