//! The limit on the number of ejected replicas of a service.

use std::time::Duration;

use super::ReplicaHealth;
use crate::{Error, Time};

/// The limits on ejections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionLimits {
    max_ejected: f64,
    first: Duration,
}

impl EjectionLimits {
    /// The highest share of a service's replicas that may be ejected. If more
    /// fail, the comparison with the others says nothing.
    pub const MAX_EJECTED: f64 = 0.5;

    /// The default time for which a replica is excluded the first time.
    pub const FIRST: Duration = Duration::from_millis(1_000);

    /// The shortest and the longest allowed time of a first exclusion.
    const FIRST_RANGE: [Duration; 2] =
        [Duration::from_millis(50), Duration::from_secs(60)];

    /// The maximum number of times that the exclusion doubles.
    const MAX_DOUBLINGS: u32 = 5;

    /// Returns limits by which at most the share `max_ejected` of a service's
    /// replicas is ejected, and a replica is excluded for `first` the first
    /// time.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`](crate::Code::OutOfRange) for a share above
    /// [`Self::MAX_EJECTED`] or an exclusion outside its range.
    pub fn new(
        max_ejected: f64,
        first: Duration,
    ) -> Result<EjectionLimits, Error> {
        let max = EjectionLimits::MAX_EJECTED;
        if !(0.0..=max).contains(&max_ejected) {
            let allowed = format_args!("0 to {max}");
            let field = "health.max_ejected";
            return Err(Error::range(field, max_ejected, allowed));
        }
        let [least, most] = EjectionLimits::FIRST_RANGE;
        if !(least..=most).contains(&first) {
            let [least, most] = [least, most].map(|span| span.as_millis());
            let allowed = format_args!("{least} to {most}");
            let ms = first.as_millis();
            return Err(Error::range("health.eject_ms", ms, allowed));
        }
        Ok(EjectionLimits { max_ejected, first })
    }

    /// The factor by which a replica of another data hall is excluded longer.
    /// It is needed less, and each hall's placer sends its own trials.
    const FAR_FACTOR: u32 = 4;

    /// How long entries of other halls wait for the result of a trial after
    /// the exclusion has ended.
    const TRIAL_ALLOWANCE: Duration = Duration::from_secs(4);

    /// The longest time for which a report of another entry excludes a
    /// replica.
    const MAX_REPORTED: Duration = Duration::from_secs(60);

    /// Returns the limits for a replica of another data hall.
    #[must_use]
    pub fn far(self) -> EjectionLimits {
        let first = self.first * EjectionLimits::FAR_FACTOR;
        EjectionLimits { first, ..self }
    }

    /// Returns for how long a replica is excluded after this number of
    /// consecutive ejections.
    pub fn exclusion(self, ejections: u32) -> Duration {
        let doublings =
            ejections.saturating_sub(1).min(EjectionLimits::MAX_DOUBLINGS);
        self.first * (1 << doublings)
    }

    /// Returns for how long a replica is excluded that another entry has
    /// excluded for `span`. Entries of the replica's own hall try it as soon
    /// as they would by their own outcomes; the others leave that to them, and
    /// try it only if they hear no more of it.
    pub fn reported(self, span: Duration, near: bool) -> Duration {
        match span {
            Duration::ZERO => span,
            _ if near => self.first,
            _ => span
                .saturating_add(EjectionLimits::TRIAL_ALLOWANCE)
                .min(EjectionLimits::MAX_REPORTED),
        }
    }

    fn max_of(self, replicas: usize) -> usize {
        (replicas as f64 * self.max_ejected) as usize
    }
}

impl Default for EjectionLimits {
    fn default() -> EjectionLimits {
        EjectionLimits {
            max_ejected: EjectionLimits::MAX_EJECTED,
            first: EjectionLimits::FIRST,
        }
    }
}

/// Whether one more replica of a service may be ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionRoom<K> {
    /// It may be ejected.
    Free,
    /// It may be ejected if this one, which fails less, is readmitted.
    Replace(K),
    /// It may not be ejected.
    Full,
}

/// The least difference of two failure rates by which one replica replaces
/// another among the ejected ones.
const REPLACE_MARGIN: f64 = 0.2;

impl<K> EjectionRoom<K> {
    /// Returns whether `replica` may be ejected beside the `others` of its
    /// service.
    pub fn of<'a>(
        limits: EjectionLimits,
        replica: &ReplicaHealth,
        others: impl Iterator<Item = (K, &'a ReplicaHealth)>,
        now: Time,
    ) -> EjectionRoom<K> {
        let (mut replicas, mut excluded) = (1, 0);
        let mut least: Option<(K, f64)> = None;
        for (key, other) in others {
            replicas += 1;
            if !other.standing(now).is_excluded() {
                continue;
            }
            excluded += 1;
            let rate = other.evidence().rate();
            if least.as_ref().is_none_or(|(_, least)| rate < *least) {
                least = Some((key, rate));
            }
        }
        let max = limits.max_of(replicas);
        if excluded < max {
            return EjectionRoom::Free;
        }
        let own = replica.evidence().rate();
        match least {
            Some((key, rate)) if max > 0 && rate + REPLACE_MARGIN < own => {
                EjectionRoom::Replace(key)
            }
            _ => EjectionRoom::Full,
        }
    }
}
