//! Serving requests directly from entries to replicas.
//!
//! Replicas refuse requests for a wrong incarnation or a wrong version
//! themselves, so entries need no gate in front of them: the entry chooses a
//! replica, sends the request to it and evaluates the response. This module
//! contains the decisions of that path:
//!
//! * [`RouteTable`] maps requests to services and their limits.
//! * [`AllowedRegions`] restricts the regions that serve a request.
//! * [`Evacuations`] are the halls that receive no requests.
//! * [`balance`] chooses the replica, with [`Contention`] as an estimate of
//!   how many entries choose among the same replicas.
//! * [`next_step`] decides what follows a failed attempt, [`RetryShare`]
//!   whether a retry is allowed, [`repeat_time`] how long it may take, and
//!   [`Shortage`] when a refused caller may
//!   retry.
//! * [`EventSplitter`] finds the points at which a stream can be resumed.
//! * [`ListReads`] decides whether a replica that is missing from the list has
//!   gone.
//! * [`ReplicaList`] holds the platform's list of replicas and tells which of
//!   them are in use.
//! * [`RolloutTurn`] schedules when a replica switches to new weights.
//! * [`ReaderChoice`] chooses the entry that reads the platform for others,
//!   and [`FirstReadDelay`] how long a new process waits for it.

pub mod balance;

mod attempt_result;
mod contention;
mod evacuation;
mod event_splitter;
mod first_read_delay;
mod layers;
mod list_reads;
mod published_replicas;
mod reader_choice;
mod regions;
mod repeat_time;
mod replica;
mod replica_list;
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
pub use self::list_reads::{Absence, AnsweredSpan, ListReads};
pub use self::published_replicas::{PublishedReplicas, ReplicaChanges};
pub use self::reader_choice::{HallEntry, ReaderChoice};
pub use self::regions::{AllowedRegions, HallRegions};
pub use self::repeat_time::repeat_time;
pub use self::replica::{Replica, ReplicaState, ReplicaVersion};
pub use self::replica_list::{ReplicaList, Replicas, Standing};
pub use self::retry_after::Shortage;
pub use self::retry_share::RetryShare;
pub use self::rollout::RolloutTurn;
pub use self::route::{Destination, Repeat, Route};
pub use self::route_table::{
    Engine, Origin, RouteTable, RouteTableParts, Service, Workspace,
};
pub use self::version_target::{
    HeardVersion, Learned, VersionTarget, VersionTargets,
};

#[cfg(test)]
mod first_read_delay_tests;
#[cfg(test)]
mod list_reads_tests;
#[cfg(test)]
mod overload_tests;
#[cfg(test)]
mod published_replicas_tests;
#[cfg(test)]
mod region_tests;
#[cfg(test)]
mod repeat_time_tests;
#[cfg(test)]
mod replica_list_tests;
#[cfg(test)]
mod retry_after_tests;
#[cfg(test)]
mod sharing_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod version_target_tests;
