//! The share of recent requests that were served.

use std::time::Duration;

use crate::Time;

/// The number of buckets into which the window is divided. The counts of the
/// oldest bucket leave the window gradually.
const BUCKETS: usize = 8;

/// Counts requests and served requests over a sliding window.
///
/// Memory is constant: counts are kept per bucket of an eighth of the window.
/// The bucket at the window's start counts in proportion to the part of it
/// that is still inside the window.
#[derive(Clone, Debug)]
pub struct ServedShare {
    /// The length of a bucket in milliseconds, at least 1.
    width_ms: u64,
    buckets: [Bucket; BUCKETS + 1],
}

/// The counts of one period of `width_ms`.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The period: time divided by `width_ms`.
    period: u64,
    asked: u32,
    served: u32,
}

impl ServedShare {
    /// Creates an empty window of length `window`, in whole milliseconds and
    /// at least 8 ms.
    pub fn new(window: Duration) -> ServedShare {
        let width_ms = (window.as_millis() as u64) / BUCKETS as u64;
        ServedShare {
            width_ms: width_ms.max(1),
            buckets: [Bucket::default(); BUCKETS + 1],
        }
    }

    /// Records that a request has arrived.
    pub fn record_asked(&mut self, now: Time) {
        if let Some(bucket) = self.bucket(now) {
            bucket.asked = bucket.asked.saturating_add(1);
        }
    }

    /// Records that a request has been served.
    pub fn record_served(&mut self, now: Time) {
        if let Some(bucket) = self.bucket(now) {
            bucket.served = bucket.served.saturating_add(1);
        }
    }

    /// Returns the served requests per request in the window, at most 1, or
    /// `None` if the window has no requests.
    ///
    /// A request that waited may be served in the window although it arrived
    /// before it.
    pub fn share(&self, now: Time) -> Option<f64> {
        let (asked, served) = self.counts(now);
        (asked > 0.0).then(|| (served / asked).min(1.0))
    }

    /// Returns the number of requests that arrived in the window.
    pub fn asked(&self, now: Time) -> f64 {
        self.counts(now).0
    }

    /// Returns the bucket for `now`, cleared if its period has passed, or
    /// `None` if a later period already uses it because the time given went
    /// back.
    fn bucket(&mut self, now: Time) -> Option<&mut Bucket> {
        let period = now.as_millis() / self.width_ms;
        let index = (period % self.buckets.len() as u64) as usize;
        let bucket = &mut self.buckets[index];
        if bucket.period > period {
            return None;
        }
        if bucket.period < period {
            *bucket = Bucket { period, ..Bucket::default() };
        }
        Some(bucket)
    }

    /// Returns the requests that arrived and those that were served in the
    /// window that ends at `now`.
    fn counts(&self, now: Time) -> (f64, f64) {
        let period = now.as_millis() / self.width_ms;
        let into = (now.as_millis() % self.width_ms) as f64;
        let oldest_part = 1.0 - into / self.width_ms as f64;
        let mut counts = (0.0, 0.0);
        for bucket in &self.buckets {
            let age = period.saturating_sub(bucket.period);
            if age > BUCKETS as u64 {
                continue;
            }
            let part = if age == BUCKETS as u64 { oldest_part } else { 1.0 };
            counts.0 += part * f64::from(bucket.asked);
            counts.1 += part * f64::from(bucket.served);
        }
        counts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Duration = Duration::from_secs(1);

    fn at(ms: u64) -> Time {
        Time::from_millis(ms)
    }

    /// Guards against a share of 0 or NaN for a service without requests.
    #[test]
    fn has_no_share_without_requests() {
        let mut share = ServedShare::new(WINDOW);
        assert_eq!(share.share(at(0)), None);
        share.record_served(at(5));
        assert_eq!(share.share(at(5)), None);
        share.record_asked(at(10));
        assert_eq!(share.share(at(10)), Some(1.0));
        assert_eq!(share.share(at(3_000)), None);
        assert_eq!(share.asked(at(3_000)), 0.0);
    }

    /// Guards against counts that stay after the window, or that leave it at
    /// once and make the share jump.
    #[test]
    fn follows_a_change_within_one_window_without_jumps() {
        let mut share = ServedShare::new(WINDOW);
        let mut last = None;
        for ms in (0..4_000).step_by(5) {
            share.record_asked(at(ms));
            if ms < 2_000 || ms % 10 == 0 {
                share.record_served(at(ms));
            }
            let now = share.share(at(ms)).unwrap();
            if let Some(last) = last
                && ms > 500
            {
                assert!(f64::abs(now - last) < 0.02, "{ms}: {last} {now}");
            }
            last = Some(now);
            if ms > 3_000 {
                assert!(f64::abs(now - 0.5) < 0.02, "{ms}: {now}");
            }
        }
        assert!(f64::abs(share.asked(at(4_000)) - 200.0) < 2.0);
    }

    /// Guards against a share above 1 when requests that waited are served
    /// after the window in which they arrived.
    #[test]
    fn is_at_most_one() {
        let mut share = ServedShare::new(WINDOW);
        for _ in 0..5 {
            share.record_asked(at(0));
        }
        share.record_asked(at(2_000));
        for _ in 0..5 {
            share.record_served(at(2_000));
        }
        assert_eq!(share.share(at(2_000)), Some(1.0));
    }

    /// Guards against a panic or a mix of periods when the time goes back,
    /// and for a window shorter than the number of buckets.
    #[test]
    fn accepts_any_time_and_window() {
        let mut share = ServedShare::new(WINDOW);
        share.record_asked(at(5_000));
        share.record_asked(at(100));
        share.record_asked(at(5_000 - 9 * 125));
        assert_eq!(share.asked(at(5_000)), 1.0);
        let mut short = ServedShare::new(Duration::ZERO);
        short.record_asked(at(u64::MAX));
        assert_eq!(short.asked(at(u64::MAX)), 1.0);
    }
}
