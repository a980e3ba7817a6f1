//! What entries tell one another by datagrams: of places, and of poisoned
//! requests.
//!
//! Each message is one datagram of JSON. One that is lost, late or doubled
//! costs at most a choice without the placer: a place is known by the
//! asker's address and number, is given back by [`PlaceEvent::Ended`], and
//! expires with its request's time where that is lost.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RateLimit;
use crate::direct::AllowedRegions;
use crate::poison::{PoisonMessage, Suspicion};

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// An entry asks for a place.
    Ask(Question),
    /// The placer answers a question.
    Answer {
        /// The question's number.
        number: u64,
        /// What was decided.
        verdict: Verdict,
    },
    /// An entry tells how a place was used.
    Event {
        /// The number of the question that brought the place.
        number: u64,
        /// What happened.
        event: PlaceEvent,
    },
    /// An entry tells of requests that end replicas.
    Poison(PoisonMessage),
}

/// What a request needs of a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Need {
    /// The service.
    pub service: Arc<str>,
    /// The model, where the service has an engine.
    pub model: Option<Arc<str>>,
    /// The only version that will do.
    pub version: Option<u64>,
    /// Replicas that must not be chosen: the request has been sent to them, or
    /// they are resting.
    pub tried: Vec<Arc<str>>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The route's own priority, where a workspace's goes before it: of
    /// requests that are as urgent, the more urgent route goes first.
    #[serde(default)]
    pub route_priority: u8,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Within which its first token is to come.
    pub objective: Duration,
    /// Where it may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
    /// How far it is suspected of ending the replicas that it runs on.
    #[serde(default)]
    pub suspicion: Suspicion,
}

impl Need {
    /// Returns how urgent it is; the least goes first.
    pub const fn urgency(&self) -> (u8, u8) {
        (self.priority, self.route_priority)
    }
}

/// A question for a place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Question {
    /// Chosen by the asker, which uses it once.
    pub number: u64,
    /// What the request needs.
    pub need: Need,
    /// How long the question may wait for room, in milliseconds.
    pub wait_ms: u32,
    /// What is left of the request's time, in milliseconds: nobody uses a
    /// place for longer.
    pub left_ms: u32,
}

/// The placer's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A place was found.
    Placed(Placed),
    /// No replica has room; the question waits, and a second answer follows.
    Queued,
    /// There is no place.
    Refused(NoPlaceReason),
    /// The placer does not know enough of its hall to place.
    Unready,
}

/// A place at a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The replica's incarnation.
    pub replica: Arc<str>,
    /// The version to insist on, if any.
    pub version: Option<u64>,
    /// Within which the replica has to have begun, in milliseconds, if its
    /// version's time is ending.
    pub begin_in_ms: Option<u64>,
    /// Requests known at the replica, this one among them.
    pub load: u32,
    /// How much longer than usual the way there takes, in milliseconds.
    pub delay_ms: u64,
    /// The age of the replica's report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// The replica's rate limit, if the placer knows of one.
    #[serde(default)]
    pub limit: Option<RateLimit>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoPlaceReason {
    /// No replica serves what is needed.
    Replica,
    /// None had room in time.
    Room,
    /// Replicas serve it, but none where it may be served.
    Region,
}

impl fmt::Display for NoPlaceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NoPlaceReason::Replica => "no replica serves this",
            NoPlaceReason::Room => "no replica had room in time",
            NoPlaceReason::Region => {
                "no replica serves this in an allowed region"
            }
        })
    }
}

/// How a place was used.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceEvent {
    /// The replica has begun to answer, so long after the place was given.
    Began {
        /// In milliseconds.
        took_ms: u32,
    },
    /// The replica's rate limit differs from the one that the placer knew.
    Limit {
        /// The limit in the replica's answer, if any.
        limit: Option<RateLimit>,
        /// The time since the request was sent, in milliseconds.
        sent_ms: u32,
        /// The time since its answer was received, in milliseconds.
        received_ms: u32,
    },
    /// The replica has announced in its answers that it is leaving.
    Leaving {
        /// The time since the last announcement was received, in milliseconds.
        received_ms: u32,
        /// The start time of the process that announced it, in Unix
        /// milliseconds, if known.
        #[serde(default)]
        born: Option<u64>,
    },
    /// The replica sent `Retry-After`.
    Rejected {
        /// The value received, in milliseconds.
        retry_after_ms: u32,
    },
    /// The place is free again.
    Ended {
        /// What the request brought.
        outcome: Outcome,
    },
}

/// What a request at a place brought, as far as it tells of the replica.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing that speaks for or against it.
    #[default]
    Unknown,
    /// A sound answer.
    Succeeded,
    /// A failure.
    Failed,
    /// It said that it had no room.
    Full,
    /// It said that it was not the one meant, or had another version.
    Misdirected,
}
