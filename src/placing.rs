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
//! Nothing is agreed upon and nothing is kept over a restart. [`leading_entries`] and
//! [`HallRole`] say who places, by an order that all entries see alike;
//! [`PlacerChoice`] whom an entry asks and how long it waits; [`PlaceTable`]
//! holds what a placer has given until it is over; [`ColdBound`] and
//! [`RateLimit`] determine how many requests one entry may send to a cold or
//! rate-limited replica; [`RecentObjectives`] that the most patient kind of request
//! does not go before the most urgent. Two placers at a time, or none, cost
//! quality and never safety: a replica refuses what does not fit, and an entry
//! whose placer is silent picks by itself.

mod chooser_kind;
mod cold_bound;
mod hall_role;
mod leaving;
mod message;
mod place_table;
mod placer_choice;
mod rate_limit;
mod recent_objectives;
mod retry_after;
mod sent_window;

pub use self::chooser_kind::ChooserKind;
pub use self::cold_bound::ColdBound;
pub use self::hall_role::{HallRole, MAX_LEADING_ENTRIES, leading_entries};
pub use self::leaving::KnownLeaving;
pub use self::message::{
    Message, Need, NoPlaceReason, Outcome, PlaceEvent, Placed, Question,
    Verdict,
};
pub use self::place_table::{PlaceKey, PlaceTable};
pub use self::placer_choice::{Placer, PlacerChoice};
pub use self::rate_limit::{KnownLimit, LimitChange, RateLimit};
pub use self::recent_objectives::RecentObjectives;
pub use self::retry_after::{KnownRetryAfter, RetryAfter};
pub use self::sent_window::{SendPace, SentWindow};

#[cfg(test)]
mod cold_bound_tests;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod placer_simulation_tests;
#[cfg(test)]
mod rate_limit_simulation_tests;
#[cfg(test)]
mod rate_limit_tests;
#[cfg(test)]
mod recent_objectives_tests;
#[cfg(test)]
mod tests;
