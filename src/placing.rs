//! Placing the requests of a data hall with one view of it.
//!
//! Where each of a hall's entries picks replicas by itself, all of them pick
//! by reports that do not show yet what the others have just sent, and one
//! free place is given several times; the more entries, the more often. So
//! one entry of the hall, its *placer*, picks for all: an entry keeps the
//! request and its bytes, asks the placer for a place ([`Question`],
//! [`Verdict`]) and tells it when the replica has begun and when the request
//! has ended ([`PlaceEvent`]).
//!
//! Nothing is agreed upon and nothing is kept over a restart. [`ranked`] and
//! [`Seat`] say who places, by an order that all entries see alike;
//! [`PlacerChoice`] whom an entry asks and how long it waits; [`PlaceTable`]
//! holds what a placer has given until it is over; [`ColdBound`] and
//! [`RateLimit`] determine how many requests one entry may send to a cold or
//! rate-limited replica; [`Urgency`] that the most patient kind of request
//! does not go before the most urgent. Two placers at a time, or none, cost
//! quality and never safety: a replica refuses what does not fit, and an entry
//! whose placer is silent picks by itself.

mod access;
mod cold_share;
mod leaving;
mod message;
mod place_table;
mod placer_choice;
mod rate_limit;
mod rest;
mod seat;
mod sent_window;
mod urgency;

pub use self::access::Access;
pub use self::cold_share::ColdBound;
pub use self::leaving::KnownLeaving;
pub use self::message::{
    Lack, Message, Need, Outcome, PlaceEvent, Placed, Question, Verdict,
};
pub use self::place_table::{PlaceKey, PlaceTable};
pub use self::placer_choice::{Placer, PlacerChoice};
pub use self::rate_limit::{KnownLimit, LimitChange, RateLimit};
pub use self::rest::{KnownRetryAfter, RetryAfter};
pub use self::seat::{LEADING, Seat, ranked};
pub use self::sent_window::{SendPace, SentWindow};
pub use self::urgency::Urgency;

#[cfg(test)]
mod cold_share_tests;
#[cfg(test)]
mod load_tests;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod rate_limit_tests;
#[cfg(test)]
mod rate_share_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod urgency_tests;
