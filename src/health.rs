//! Detection and exclusion of failing and slow replicas by the outcomes of
//! their requests.
//!
//! A replica that answers requests with errors has few requests in flight, so
//! it looks idle and attracts more. Its failure rate therefore has to be
//! judged, and not only its load. Some requests fail at every replica, because
//! their route or their workspace's requests are at fault. Therefore a replica
//! is compared with the *other* replicas of its service, separately for each
//! source of requests (a route and a workspace).
//!
//! * [`expected_rate`] returns the failure rate to expect, from the
//!   [`ReplicaHealth`] of the other replicas.
//! * [`ReplicaHealth`] runs a cumulative-sum test (CUSUM; Page, "Continuous
//!   Inspection Schemes", 1954) of the replica's failures against it.
//! * [`EjectionRoom`] limits how many replicas of a service are ejected at a
//!   time.
//! * A failure counts in full once another replica has served the request on
//!   its retry ([`ReplicaHealth::confirm_failure`]).
//! * Entries report suspicions and ejections to one another
//!   ([`HealthReport`]), because the requests of one of them may be too few.
//! * An ejected replica is first excluded, then gets trials, and then returns
//!   with a growing number of requests.
//! * [`FirstByteSpeed`] compares the time to the first byte with the expected
//!   one.
//!
//! All state belongs to one process lifetime of a replica and is in memory
//! only.

mod ejection_room;
mod expected_rate;
mod first_byte_speed;
mod health_check;
mod outcome_count;
mod outcome_window;
mod replica_health;
mod report;
mod source;

pub use self::ejection_room::{EjectionLimits, EjectionRoom};
pub use self::expected_rate::{Expectation, expected_rate};
pub use self::first_byte_speed::{FirstByteSpeed, UsualRatio};
pub use self::health_check::HealthCheck;
pub use self::replica_health::{
    Evidence, HealthChange, ReplicaHealth, Sample, Standing,
};
pub use self::report::{HealthReport, ReportedStanding};
pub use self::source::Source;

#[cfg(test)]
mod report_tests;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod speed_simulation_tests;
#[cfg(test)]
mod tests;
