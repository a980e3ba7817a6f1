//! The cause of a request's end, or of its being late.

use std::fmt;
use std::sync::Arc;

use super::{LogLine, LoggedDecision, Outcome, RequestHistory};

/// Why a request ended as it did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Nothing went wrong: the time is the replica's own.
    Replica {
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// It was answered after a wait for room.
    WaitedForRoom {
        /// How long it waited, in milliseconds.
        waited_ms: u64,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// It was answered after failed attempts.
    FailedAttempts {
        /// How long these took, in milliseconds.
        lost_ms: u64,
        /// What the last of them brought.
        reason: Arc<str>,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// No replica that is known could serve it, with room or without.
    NoSuitableReplica {
        /// Replicas listed of the service.
        listed: usize,
        /// Those in a region where it may not be served.
        barred: usize,
        /// Those of the others in a hall that is evacuated.
        evacuated: usize,
        /// Those of the others that are leaving.
        leaving: usize,
        /// Those of the others whose `Retry-After` has not expired.
        resting: usize,
    },
    /// All replicas that could serve it were full.
    NoRoom {
        /// Replicas that could take it if they had room.
        suitable: usize,
        /// Those of them that have set a rate limit.
        limited: usize,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An attempt failed, and no other was allowed or left time.
    AttemptFailed {
        /// The replica.
        replica: Arc<str>,
        /// What it brought.
        reason: Arc<str>,
    },
    /// It is kept from replicas, since some ended under it.
    Quarantined {
        /// These replicas.
        replicas: Vec<Arc<str>>,
        /// How long that had been known, in milliseconds.
        age_ms: u64,
        /// When it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// It was refused before a replica was looked for.
    Rule {
        /// The numbered code.
        code: u16,
        /// What is wrong with it.
        reason: Arc<str>,
        /// How long ago all published routes were known, in milliseconds,
        /// where the routes decided.
        routes_age_ms: Option<u64>,
    },
    /// Its caller left.
    CallerLeft {
        /// Whether a replica was at work on it.
        sent: bool,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// The entry ended first.
    EntryEnded {
        /// Whether it had been sent to a replica.
        sent: bool,
    },
    /// The log does not reach to its end.
    Unknown,
}

impl Cause {
    /// Returns the cause that a request's lines show.
    pub fn of(history: &RequestHistory) -> Cause {
        let sent = find(history, |d| match d {
            LoggedDecision::Sent { .. } => Some(()),
            _ => None,
        })
        .is_some();
        match history.outcome() {
            Outcome::Answered => answered(history),
            Outcome::Refused | Outcome::BrokenOff => failed(history),
            Outcome::CallerLeft => {
                Cause::CallerLeft { sent, took_ms: took(history) }
            }
            Outcome::ProcessEnded => Cause::EntryEnded { sent },
            Outcome::Open => Cause::Unknown,
        }
    }

    /// Returns the kind of the cause: what requests with like causes share.
    pub const fn kind(&self) -> &'static str {
        match self {
            Cause::Replica { .. } => "replica's own time",
            Cause::WaitedForRoom { .. } => "waited for room",
            Cause::FailedAttempts { .. } => "attempts failed before",
            Cause::NoSuitableReplica { .. } => "no suitable replica",
            Cause::NoRoom { .. } => "no room",
            Cause::AttemptFailed { .. } => "attempt failed",
            Cause::Quarantined { .. } => "ends replicas",
            Cause::Rule { .. } => "not allowed",
            Cause::CallerLeft { sent: true, .. } => "left while served",
            Cause::CallerLeft { sent: false, .. } => "left while waiting",
            Cause::EntryEnded { .. } => "entry ended",
            Cause::Unknown => "the log ends",
        }
    }
}

fn find<T>(
    history: &RequestHistory,
    pick: impl Fn(&LoggedDecision) -> Option<T>,
) -> Option<T> {
    history.lines().iter().map(LogLine::decision).rev().find_map(pick)
}

fn took(history: &RequestHistory) -> u64 {
    let took = find(history, |d| match d {
        LoggedDecision::Ended { took_ms, .. }
        | LoggedDecision::Cancelled { took_ms, .. } => Some(*took_ms),
        _ => None,
    });
    took.unwrap_or_default()
}

fn answered(history: &RequestHistory) -> Cause {
    let took_ms = took(history);
    let mut lost_ms = 0;
    let mut last = None;
    let mut waited = 0;
    for line in history.lines() {
        match line.decision() {
            LoggedDecision::AttemptFailed { after_ms, reason, .. } => {
                lost_ms += after_ms;
                last = Some(Arc::clone(reason));
            }
            LoggedDecision::Sent { waited_ms, attempt: 1, .. } => {
                waited = *waited_ms;
            }
            _ => {}
        }
    }
    if let Some(reason) = last {
        return Cause::FailedAttempts { lost_ms, reason, took_ms };
    }
    if waited > 0 {
        return Cause::WaitedForRoom { waited_ms: waited, took_ms };
    }
    Cause::Replica { took_ms }
}

fn failed(history: &RequestHistory) -> Cause {
    // The last of these is what the answer says.
    let cause = find(history, |d| match d {
        LoggedDecision::NoReplica {
            listed,
            suitable: 0,
            barred,
            evacuated,
            leaving,
            resting,
            ..
        } => Some(Cause::NoSuitableReplica {
            listed: *listed,
            barred: *barred,
            evacuated: *evacuated,
            leaving: *leaving,
            resting: *resting,
        }),
        LoggedDecision::NoReplica { suitable, limited, waited_ms, .. } => {
            Some(Cause::NoRoom {
                suitable: *suitable,
                limited: *limited,
                waited_ms: *waited_ms,
            })
        }
        LoggedDecision::PoisonRefused {
            replicas, age_ms, back_ms, ..
        } => Some(Cause::Quarantined {
            replicas: replicas.clone(),
            age_ms: *age_ms,
            back_ms: *back_ms,
        }),
        LoggedDecision::AttemptFailed { replica, reason, .. } => {
            Some(Cause::AttemptFailed {
                replica: Arc::clone(replica),
                reason: Arc::clone(reason),
            })
        }
        _ => None,
    });
    cause.or_else(|| broken_off(history)).unwrap_or_else(|| rule(history))
}

/// Returns the cause of an answer that its replica did not bring to its end.
fn broken_off(history: &RequestHistory) -> Option<Cause> {
    let replica = find(history, |d| match d {
        LoggedDecision::Sent { replica, .. } => Some(Arc::clone(replica)),
        _ => None,
    })?;
    Some(Cause::AttemptFailed { replica, reason: reason(history) })
}

fn rule(history: &RequestHistory) -> Cause {
    let ended = find(history, |d| match d {
        LoggedDecision::Ended { code, routes_age_ms, .. } => {
            Some((*code, *routes_age_ms))
        }
        _ => None,
    });
    let (code, routes_age_ms) = ended.unwrap_or_default();
    Cause::Rule { code, reason: reason(history), routes_age_ms }
}

fn reason(history: &RequestHistory) -> Arc<str> {
    let reason = find(history, |d| match d {
        LoggedDecision::Ended { reason, .. } => Some(Arc::clone(reason)),
        _ => None,
    });
    reason.unwrap_or_else(|| Arc::from(""))
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Replica { took_ms } => {
                write!(f, "the replica took {took_ms} ms, nothing else did")
            }
            Cause::WaitedForRoom { waited_ms, took_ms } => {
                write!(f, "{waited_ms} of {took_ms} ms went by until a ")?;
                f.write_str("replica had room")
            }
            Cause::FailedAttempts { lost_ms, reason, took_ms } => {
                write!(f, "{lost_ms} of {took_ms} ms went by in attempts ")?;
                write!(f, "that failed, the last with: {reason}")
            }
            Cause::NoSuitableReplica {
                listed,
                barred,
                evacuated,
                leaving,
                resting,
            } => {
                write!(f, "none of {listed} replicas listed could serve it")?;
                if *barred > 0 {
                    write!(f, "; {barred} are in other regions")?;
                }
                if *evacuated > 0 {
                    write!(f, "; {evacuated} are in evacuated halls")?;
                }
                if *leaving > 0 {
                    write!(f, "; {leaving} are leaving")?;
                }
                if *resting > 0 {
                    write!(f, "; {resting} asked for a pause")?;
                }
                Ok(())
            }
            Cause::NoRoom { suitable, limited, waited_ms } => {
                write!(f, "all {suitable} replicas that could serve it ")?;
                write!(f, "were full for {waited_ms} ms")?;
                if *limited > 0 {
                    write!(f, "; {limited} name a rate limit")?;
                }
                Ok(())
            }
            Cause::AttemptFailed { replica, reason } => {
                write!(f, "replica {replica} failed: {reason}")
            }
            Cause::Quarantined { replicas, age_ms, back_ms } => {
                let replicas = replicas.join(", ");
                write!(f, "replicas {replicas} ended under it, known for ")?;
                write!(f, "{age_ms} ms; it is sent again in {back_ms} ms")
            }
            Cause::Rule { code, reason, routes_age_ms } => {
                write!(f, "refused by rule, code {code}: {reason}")?;
                match routes_age_ms {
                    Some(age) => write!(f, ", all known {age} ms before"),
                    None => Ok(()),
                }
            }
            Cause::CallerLeft { sent, took_ms } => {
                let at = if *sent { "served" } else { "waiting" };
                write!(f, "the caller left after {took_ms} ms, while {at}")
            }
            Cause::EntryEnded { sent: true } => {
                f.write_str("the entry ended while a replica was at work")
            }
            Cause::EntryEnded { sent: false } => {
                f.write_str("the entry ended before it was sent")
            }
            Cause::Unknown => f.write_str("the log ends before the request"),
        }
    }
}
