//! Admission of requests while a service has less capacity than demand.
//!
//! * [`ServedShare`] measures which share of the recent requests was served.

mod served_share;

pub use self::served_share::ServedShare;
