//! Admission of requests while a service has less capacity than demand.
//!
//! * [`ServedShare`] measures which share of the recent requests was served.
//! * [`Admission`] decides which requests are served first, which are refused
//!   at once, and when refused callers may return. It uses the following
//!   parts.
//! * [`RefusedCallers`] recognises returning callers by their deadline,
//!   and [`UsualLeft`] those that were refused elsewhere by the time left.
//! * [`Standing`] and [`Rank`] order waiting requests.
//! * [`LoadEstimate`] estimates capacity and demand.
//! * [`Calendar`] gives return times to callers.

mod admission;
mod calendar;
mod estimate;
mod order;
mod refusal;
mod refused_callers;
mod served_share;
mod settings;
mod usual_left;

pub use self::admission::{Admission, AdmissionTotals, Wait};
pub use self::calendar::{Calendar, Returning};
pub use self::estimate::{LoadEstimate, ServiceLoad, work};
pub use self::order::{Rank, Standing};
pub use self::refusal::{Full, FullReason, shortage_retry_after_ms};
pub use self::refused_callers::RefusedCallers;
pub use self::served_share::ServedShare;
pub use self::settings::{OverloadSettings, Policy};
pub use self::usual_left::UsualLeft;

#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod tests;
