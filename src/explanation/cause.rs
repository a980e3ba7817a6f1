//! Why a request failed or was slow.

use std::fmt;
use std::sync::Arc;

use super::{LogLine, LoggedDecision, Outcome, RequestHistory};

/// Why a request ended as it did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It was answered without a wait or a failed attempt; the time was spent
    /// at the replica.
    ReplicaTime {
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// It was answered after a wait for a replica with free capacity.
    WaitedForCapacity {
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// It was answered after failed attempts.
    FailedAttempts {
        /// How long the failed attempts took, in milliseconds.
        lost_ms: u64,
        /// Why the last of them failed.
        reason: Arc<str>,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// No known replica was suitable, whether full or not.
    NoSuitableReplica {
        /// Listed replicas of the service.
        listed: usize,
        /// Of these, replicas in a region that the route doesn't allow.
        barred: usize,
        /// Of the rest, replicas in an evacuated data hall.
        evacuated: usize,
        /// Of the rest, replicas that are leaving.
        leaving: usize,
        /// Of the rest, replicas whose `Retry-After` has not expired.
        resting: usize,
    },
    /// No replica of the service was known, and the list of replicas had not
    /// been read to its end since the entry started.
    ListUnread {
        /// How much of it had been read: `unread` or `partial`.
        list: Arc<str>,
    },
    /// All suitable replicas were full.
    NoCapacity {
        /// Replicas that could serve it if they had free capacity.
        suitable: usize,
        /// Of these, replicas that have set a rate limit.
        limited: usize,
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
    },
    /// It was refused under admission control.
    Overloaded {
        /// Why: `waited`, `late` or `behind`.
        reason: Arc<str>,
        /// The time after which the caller may return, in milliseconds.
        retry_after_ms: u64,
        /// Whether capacity was expected then.
        promised: bool,
        /// The estimated capacity, as a percentage of the demand of new
        /// callers, if both were known.
        percent: Option<u64>,
        /// The age of the estimate, in milliseconds.
        age_ms: u64,
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
    },
    /// An attempt failed, and a retry was not allowed or there was no time for
    /// one.
    AttemptFailed {
        /// The replica that failed.
        replica: Arc<str>,
        /// Why the attempt failed.
        reason: Arc<str>,
    },
    /// It is quarantined, because replicas crashed while running it.
    Quarantined {
        /// The parts of its prompt of which one or more crash replicas; none
        /// if it does so as a whole.
        parts: Vec<Arc<str>>,
        /// The replicas that crashed.
        replicas: Vec<Arc<str>>,
        /// How long the entry had known this, in milliseconds.
        age_ms: u64,
        /// How long until it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// It was refused before a replica was selected.
    Rejected {
        /// The numbered code.
        code: u16,
        /// Why it was refused.
        reason: Arc<str>,
        /// How long before, in milliseconds, the entry last knew all published
        /// routes; present only if the routes led to the refusal.
        routes_age_ms: Option<u64>,
    },
    /// Its caller disconnected.
    CallerDisconnected {
        /// Whether a replica was running it.
        sent: bool,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// Its caller was cut, because it read nothing of the answer for too long.
    CallerUnread {
        /// The bytes of the answer that were buffered for the caller.
        unread_bytes: u64,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// The entry terminated before the request ended.
    EntryTerminated {
        /// Whether it had been sent to a replica.
        sent: bool,
    },
    /// The log ends before the request does.
    Unknown,
}

impl Cause {
    /// Determines the cause from the lines of a request.
    pub fn of(history: &RequestHistory) -> Cause {
        let sent = find_last(history, |d| match d {
            LoggedDecision::Sent { .. } => Some(()),
            _ => None,
        })
        .is_some();
        match history.outcome() {
            Outcome::Answered => answered(history),
            Outcome::Refused | Outcome::Truncated => unanswered(history),
            Outcome::CallerDisconnected => Cause::CallerDisconnected {
                sent,
                took_ms: duration_ms(history),
            },
            Outcome::ProcessTerminated => Cause::EntryTerminated { sent },
            Outcome::Unfinished => Cause::Unknown,
        }
    }

    /// Returns a label by which requests with similar causes are counted.
    pub const fn kind(&self) -> &'static str {
        match self {
            Cause::ReplicaTime { .. } => "replica's own time",
            Cause::WaitedForCapacity { .. } => "waited for capacity",
            Cause::FailedAttempts { .. } => "earlier attempts failed",
            Cause::NoSuitableReplica { .. } => "no suitable replica",
            Cause::ListUnread { .. } => "list not read",
            Cause::NoCapacity { .. } => "no capacity",
            Cause::Overloaded { .. } => "overloaded",
            Cause::AttemptFailed { .. } => "attempt failed",
            Cause::Quarantined { .. } => "quarantined",
            Cause::Rejected { .. } => "rejected",
            Cause::CallerDisconnected { sent: true, .. } => {
                "disconnected while served"
            }
            Cause::CallerDisconnected { sent: false, .. } => {
                "disconnected while waiting"
            }
            Cause::CallerUnread { .. } => "caller read nothing",
            Cause::EntryTerminated { .. } => "entry terminated",
            Cause::Unknown => "log ends",
        }
    }
}

fn find_last<T>(
    history: &RequestHistory,
    pick: impl Fn(&LoggedDecision) -> Option<T>,
) -> Option<T> {
    history.lines().iter().map(LogLine::decision).rev().find_map(pick)
}

fn duration_ms(history: &RequestHistory) -> u64 {
    let duration_ms = find_last(history, |d| match d {
        LoggedDecision::Ended { took_ms, .. }
        | LoggedDecision::Cancelled { took_ms, .. } => Some(*took_ms),
        _ => None,
    });
    duration_ms.unwrap_or_default()
}

fn answered(history: &RequestHistory) -> Cause {
    let took_ms = duration_ms(history);
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
        return Cause::WaitedForCapacity { waited_ms: waited, took_ms };
    }
    Cause::ReplicaTime { took_ms }
}

fn unanswered(history: &RequestHistory) -> Cause {
    let cut = find_last(history, |d| match d {
        LoggedDecision::CallerCut { unread_bytes, took_ms, .. } => {
            let (unread_bytes, took_ms) = (*unread_bytes, *took_ms);
            Some(Cause::CallerUnread { unread_bytes, took_ms })
        }
        _ => None,
    });
    if let Some(cut) = cut {
        return cut;
    }
    // The last of these decisions is the reason that the answer gives.
    let cause = find_last(history, |d| match d {
        LoggedDecision::NoReplica { list: Some(list), listed: 0, .. }
            if &**list != "whole" =>
        {
            Some(Cause::ListUnread { list: Arc::clone(list) })
        }
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
            Some(Cause::NoCapacity {
                suitable: *suitable,
                limited: *limited,
                waited_ms: *waited_ms,
            })
        }
        LoggedDecision::OverloadRefused {
            reason,
            retry_after_ms,
            promised,
            capacity,
            demand,
            age_ms,
            waited_ms,
            ..
        } => Some(Cause::Overloaded {
            reason: Arc::clone(reason),
            retry_after_ms: *retry_after_ms,
            promised: *promised,
            percent: (*demand > 0.0)
                .then(|| (100.0 * capacity / demand) as u64),
            age_ms: *age_ms,
            waited_ms: *waited_ms,
        }),
        LoggedDecision::PoisonRefused {
            parts,
            replicas,
            age_ms,
            back_ms,
            ..
        } => Some(Cause::Quarantined {
            parts: parts.clone(),
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
    cause.or_else(|| truncated(history)).unwrap_or_else(|| rejected(history))
}

/// Returns the cause if a replica's answer ended before it was complete.
fn truncated(history: &RequestHistory) -> Option<Cause> {
    let replica = find_last(history, |d| match d {
        LoggedDecision::Sent { replica, .. } => Some(Arc::clone(replica)),
        _ => None,
    })?;
    Some(Cause::AttemptFailed { replica, reason: ended_reason(history) })
}

fn rejected(history: &RequestHistory) -> Cause {
    let ended = find_last(history, |d| match d {
        LoggedDecision::Ended { code, routes_age_ms, .. } => {
            Some((*code, *routes_age_ms))
        }
        _ => None,
    });
    let (code, routes_age_ms) = ended.unwrap_or_default();
    Cause::Rejected { code, reason: ended_reason(history), routes_age_ms }
}

fn ended_reason(history: &RequestHistory) -> Arc<str> {
    let reason = find_last(history, |d| match d {
        LoggedDecision::Ended { reason, .. } => Some(Arc::clone(reason)),
        _ => None,
    });
    reason.unwrap_or_else(|| Arc::from(""))
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::ReplicaTime { took_ms } => {
                write!(f, "all of {took_ms} ms were spent at the replica")
            }
            Cause::WaitedForCapacity { waited_ms, took_ms } => {
                write!(
                    f,
                    "{waited_ms} of {took_ms} ms were spent waiting for "
                )?;
                f.write_str("a replica with free capacity")
            }
            Cause::FailedAttempts { lost_ms, reason, took_ms } => {
                write!(
                    f,
                    "{lost_ms} of {took_ms} ms were spent on attempts "
                )?;
                write!(f, "that failed, the last with: {reason}")
            }
            Cause::ListUnread { list } => {
                write!(f, "no replica is known, and the list is {list}; ")?;
                write!(f, "`start_delayed` says why")
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
                    write!(f, "; {resting} sent a Retry-After")?;
                }
                Ok(())
            }
            Cause::NoCapacity { suitable, limited, waited_ms } => {
                write!(f, "all {suitable} replicas that could serve it ")?;
                write!(f, "were full for {waited_ms} ms")?;
                if *limited > 0 {
                    write!(f, "; {limited} have a rate limit")?;
                }
                Ok(())
            }
            Cause::Overloaded {
                reason,
                retry_after_ms,
                promised,
                percent,
                age_ms,
                waited_ms,
            } => {
                f.write_str(match &**reason {
                    "late" => {
                        "it could only be late while others could be in time"
                    }
                    "behind" => {
                        "others were entitled to all capacity before it"
                    }
                    _ => "no replica had capacity in time",
                })?;
                write!(f, ", after {waited_ms} ms")?;
                if let Some(percent) = percent {
                    write!(f, "; the capacity was {percent} % of the demand")?;
                    write!(f, " of new callers, {age_ms} ms before")?;
                }
                write!(f, "; its caller may return in {retry_after_ms} ms")?;
                f.write_str(if *promised {
                    ", when capacity was expected"
                } else {
                    ", without capacity being expected"
                })
            }
            Cause::AttemptFailed { replica, reason } => {
                write!(f, "replica {replica} failed: {reason}")
            }
            Cause::Quarantined { parts, replicas, age_ms, back_ms } => {
                let replicas = replicas.join(", ");
                write!(f, "replicas {replicas} crashed while running ")?;
                match &parts[..] {
                    [] => f.write_str("it")?,
                    [part] => write!(f, "part {part} of its prompt")?,
                    _ => {
                        let parts = parts.join(", ");
                        write!(f, "one of the parts {parts} of its prompt")?;
                    }
                }
                write!(f, ", known for {age_ms} ms; ")?;
                write!(f, "it may be sent again in {back_ms} ms")
            }
            Cause::Rejected { code, reason, routes_age_ms } => {
                write!(f, "rejected with code {code}: {reason}")?;
                match routes_age_ms {
                    Some(age) => {
                        write!(f, ", all routes last known {age} ms before")
                    }
                    None => Ok(()),
                }
            }
            Cause::CallerDisconnected { sent, took_ms } => {
                let at = if *sent { "served" } else { "waiting" };
                write!(
                    f,
                    "the caller disconnected after {took_ms} ms, while {at}"
                )
            }
            Cause::CallerUnread { unread_bytes, took_ms } => {
                write!(
                    f,
                    "the caller left {unread_bytes} bytes unread and was "
                )?;
                write!(f, "cut after {took_ms} ms")
            }
            Cause::EntryTerminated { sent: true } => f.write_str(
                "the entry terminated while a replica was running it",
            ),
            Cause::EntryTerminated { sent: false } => {
                f.write_str("the entry terminated before it was sent")
            }
            Cause::Unknown => {
                f.write_str("the log ends before the request does")
            }
        }
    }
}
