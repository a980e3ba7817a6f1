//! Messages between entries about places, poisoned requests and failing
//! replicas.
//!
//! Each message is one datagram of JSON. If one is lost, delayed or
//! duplicated, at most a replica is chosen without the placer: a place is
//! identified by the requester's address and a number, is released by
//! [`PlaceEvent::Ended`], and expires at its request's deadline if that
//! message is lost.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RateLimit;
use crate::direct::AllowedRegions;
use crate::health::{HealthReport, Source};
use crate::overload::Full;
use crate::poison::{Fingerprint, PoisonMessage, Suspicion};

/// The content of one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// An entry asks for a place.
    Ask(Question),
    /// The placer answers a [`Question`].
    Answer {
        /// The question's number.
        number: u64,
        /// The placer's decision.
        verdict: Verdict,
    },
    /// An entry reports how a place is used.
    Event {
        /// The number of the question for which the place was given.
        number: u64,
        /// What happened.
        event: PlaceEvent,
    },
    /// An entry reports requests that crash replicas.
    Poison(PoisonMessage),
    /// An entry reports replicas that it suspects, ejects or readmits.
    Health(Vec<HealthReport>),
}

/// What a request requires of a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Need {
    /// The service.
    pub service: Arc<str>,
    /// The model, if the service has an engine.
    pub model: Option<Arc<str>>,
    /// The required version, if only one is acceptable.
    pub version: Option<u64>,
    /// Replicas that must not be chosen because the request has been sent to
    /// them already or because their `Retry-After` has not expired.
    pub tried: Vec<Arc<str>>,
    /// Replicas that are chosen only if there are no others, because the
    /// requester's streams get no data from them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<Arc<str>>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The route's own priority, if the workspace's priority takes
    /// precedence; orders requests of the same `priority`. 0 is the most
    /// urgent.
    #[serde(default)]
    pub route_priority: u8,
    /// The number of tokens in its prompt.
    pub prompt_tokens: u32,
    /// The target time until its first token.
    pub objective: Duration,
    /// The regions in which it may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
    /// How strongly it is suspected of crashing the replicas on which it runs.
    #[serde(default)]
    pub suspicion: Suspicion,
    /// The request's fingerprint, if all its runs should use the same replica
    /// because several replicas crashed together under it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared_run: Option<Fingerprint>,
    /// The workspace, if the requester applies admission control.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Arc<str>>,
    /// The time that the caller has left, in milliseconds, or 0 if it is not
    /// to be judged by it: the requester does not apply admission control, or
    /// an earlier attempt failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left_ms: u32,
    /// The caller's hint of the length of the answer, in tokens, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_tokens: Option<u32>,
    /// The fingerprint of the request, by which its caller is recognised when
    /// it returns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<Fingerprint>,
    /// Whether it continues a stream that has started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub continued: bool,
    /// Whether it can be sent to another replica if the first one fails. Only
    /// such requests are sent as trials to replicas that have failed.
    #[serde(default)]
    pub repeatable: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

impl Need {
    /// Returns a sort key for the request's urgency; the smallest goes first.
    pub const fn urgency(&self) -> (u8, u8) {
        (self.priority, self.route_priority)
    }
}

/// A request for a place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Question {
    /// A number that the requester uses only once.
    pub number: u64,
    /// What the request requires.
    pub need: Need,
    /// How long the question may wait for capacity, in milliseconds.
    pub wait_ms: u32,
    /// The time left until the request's deadline, in milliseconds; the place
    /// is not used for longer.
    pub left_ms: u32,
}

/// The placer's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A place is given.
    Placed(Placed),
    /// No replica has capacity now; a second answer follows.
    Queued,
    /// No place is given.
    Refused(NoPlaceReason),
    /// No place is given for lack of capacity, and the caller is told when to
    /// return. Sent only to requesters that state the time left in the
    /// [`Need`]; others cannot read it.
    Full(Full),
    /// The placer has not yet received enough reports from its hall.
    Unready,
}

/// A place at a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The replica's incarnation.
    pub replica: Arc<str>,
    /// The version that the replica must have, if any.
    pub version: Option<u64>,
    /// The time within which the replica must begin, in milliseconds, if its
    /// version is about to be replaced.
    pub begin_in_ms: Option<u64>,
    /// The requests known to be at the replica, including this one.
    pub load: u32,
    /// The network delay to the replica beyond the usual one, in milliseconds.
    pub delay_ms: u64,
    /// The age of the replica's report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// The replica's rate limit, if the placer knows of one.
    #[serde(default)]
    pub limit: Option<RateLimit>,
}

/// Why no place is given.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoPlaceReason {
    /// No replica serves what the request requires.
    Replica,
    /// No replica had capacity in time.
    Room,
    /// Replicas serve it, but none in a region where it may be served.
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

/// An event in the use of a place.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceEvent {
    /// The replica has begun to answer.
    Began {
        /// The time since the place was given, in milliseconds.
        took_ms: u32,
        /// Whether the answer is an error response, whose time says nothing
        /// about the replica's speed.
        #[serde(default, skip_serializing_if = "is_false")]
        errored: bool,
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
    /// The request has ended, so the place is free.
    Ended {
        /// The outcome of the request; never [`Outcome::Errored`], which
        /// placers of earlier builds cannot decode.
        outcome: Outcome,
        /// Whether the outcome is [`Outcome::Errored`].
        #[serde(default, skip_serializing_if = "is_false")]
        errored: bool,
        /// The source of the request, if its outcome says whether the replica
        /// fails: it failed, or its answer was complete.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        source: Option<Source>,
        /// The time that the replica took, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        took_ms: Option<u32>,
    },
}

impl PlaceEvent {
    /// Returns the end of a request. `source` is given if the outcome says
    /// whether the replica fails, which it did after `took_ms` milliseconds.
    pub const fn ended(
        outcome: Outcome,
        source: Option<Source>,
        took_ms: Option<u32>,
    ) -> PlaceEvent {
        let errored = matches!(outcome, Outcome::Errored);
        let outcome = if errored { Outcome::Unknown } else { outcome };
        PlaceEvent::Ended { outcome, errored, source, took_ms }
    }
}

/// The outcome of a request, as an indication of the replica's health.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No indication.
    #[default]
    Unknown,
    /// The replica answered successfully.
    Succeeded,
    /// The replica failed.
    Failed,
    /// The replica answered with an error of its own. This may be due to the
    /// request.
    Errored,
    /// The replica rejected the request because it had no capacity.
    Full,
    /// The replica answered that it is a different one or has a different
    /// version.
    Misdirected,
}
