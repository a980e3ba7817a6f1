//! Serving from entries straight to replicas.
//!
//! Where a replica itself refuses a wrong incarnation and a wrong version,
//! no gate has to stand in a request's way: the entry picks a replica, sends
//! to it, and judges its answer. This module holds the decisions of that
//! path. [`RouteTable`] says which service takes a request and under which
//! limits; [`balance`] which replica; [`next_step`] what follows after an
//! attempt; [`RetryShare`] whether a further attempt may be made at all;
//! [`Shortage`] when a refused caller comes back; [`EventSplitter`] where a
//! stream may be cut and taken up again; [`Contention`] how many entries
//! choose among the same replicas; [`RolloutTurn`] when a replica changes to new
//! weights; [`ReaderChoice`] which entry reads the platform for the others;
//! [`AllowedRegions`] where a request may be served; [`Evacuations`] which
//! halls get no requests;
//! and [`FirstReadDelay`] how long one that has just started waits for them.

pub mod balance;

mod attempt_result;
mod contention;
mod evacuation;
mod event_splitter;
mod first_read_delay;
mod layers;
mod published_replicas;
mod reader_choice;
mod regions;
mod replica;
mod retry_after;
mod retry_share;
mod rollout;
mod route;
mod route_table;
mod version_target;

pub use self::attempt_result::{AttemptResult, NextStep, next_step};
pub use self::contention::Contention;
pub use self::evacuation::{EvacuationBound, Evacuations};
pub use self::event_splitter::{Event, EventSplitter};
pub use self::first_read_delay::FirstReadDelay;
pub use self::layers::LayerRange;
pub use self::published_replicas::{PublishedReplicas, ReplicaChanges};
pub use self::reader_choice::{HallEntry, ReaderChoice};
pub use self::regions::{AllowedRegions, HallRegions};
pub use self::replica::{Replica, ReplicaState, ReplicaVersion};
pub use self::retry_after::Shortage;
pub use self::retry_share::RetryShare;
pub use self::rollout::RolloutTurn;
pub use self::route::{Destination, Repeat, Route};
pub use self::route_table::{
    Engine, Origin, RouteTable, RouteTableParts, Service, Workspace,
};
pub use self::version_target::{VersionTarget, VersionTargets};

#[cfg(test)]
mod first_read_delay_tests;
#[cfg(test)]
mod overload_tests;
#[cfg(test)]
mod region_tests;
#[cfg(test)]
mod retry_after_tests;
#[cfg(test)]
mod sharing_tests;
#[cfg(test)]
mod tests;
