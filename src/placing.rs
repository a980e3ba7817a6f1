//! Selection of replicas for all requests of a data hall by one entry.
//!
//! If each entry of a hall selected replicas by itself, it would rely on load
//! reports that do not yet include the requests that the other entries have
//! just sent. Several entries would then pick the same free slot, and more
//! often the more entries there are. Therefore one entry of the hall, the
//! *placer*, selects replicas for all of them. An entry keeps a request and
//! its body, asks the placer for a *place*, which is a reservation at a
//! replica ([`Question`], [`Verdict`]), and reports to the placer when the
//! replica has begun and when the request has ended ([`PlaceEvent`]).
//!
//! There is no consensus protocol and no state that survives a restart:
//!
//! * [`leading_entries`] and [`HallRole`] determine the placer from the order
//!   of the entries' addresses, which all entries compute alike.
//! * [`PlacerChoice`] selects the placer that an entry asks and limits how
//!   long it waits for an answer.
//! * [`PlaceTable`] holds the places that a placer has given until they end.
//! * [`ColdBound`] and [`RateLimit`] limit how many requests one entry may
//!   send to a cold or rate-limited replica.
//! * [`RecentObjectives`] prevents requests with long objectives from
//!   displacing more urgent ones under overload.
//!
//! Having two placers at a time, or none, degrades load balancing but not
//! safety: a replica rejects requests beyond its capacity, and an entry whose
//! placer does not answer selects replicas by itself.

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
mod message_tests;
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
