//! The speed of a replica, from the times to the first byte.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// How long an observation counts. Slow periods of 0.6 s have to be forgotten
/// within about 0.5 s.
const MAX_AGE: Duration = Duration::from_millis(500);

/// The number of observations of which the median is taken: single ones change
/// nothing, and two in a row show within 0.2 s at 14 requests a second.
const SAMPLES: usize = 3;

/// The maximum number of requests whose delay is followed.
const MAX_PENDING: usize = 16;

/// The least factor that counts. Smaller ones are within the noise of the
/// latency model.
const MIN_FACTOR: f64 = 1.4;

/// The highest factor, by which even an idle replica gets few requests.
const MAX_FACTOR: f64 = 4.0;

/// A request without a first byte yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    sent: Time,
    expected_ms: f64,
}

/// The recent times to the first byte of one process lifetime of a replica,
/// as ratios to the expected times.
#[derive(Clone, Debug, Default)]
pub struct FirstByteSpeed {
    samples: VecDeque<(Time, f64)>,
    pending: VecDeque<Pending>,
    last_number: u64,
}

impl FirstByteSpeed {
    /// Records that a request was sent whose first byte is expected after
    /// `expected_ms` milliseconds. Returns its number.
    pub fn record_sent(&mut self, expected_ms: f64, now: Time) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending { number, sent: now, expected_ms });
        number
    }

    /// Records that the first byte of a request was received, or that it ended
    /// without one.
    pub fn forget(&mut self, number: u64) {
        self.pending.retain(|pending| pending.number != number);
    }

    /// Records a ratio of an observed to the expected time.
    pub fn record(&mut self, ratio: f64, now: Time) {
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, ratio));
    }

    /// Returns the factor by which the replica is slower than is usual in its
    /// service, at least 1: the median of the last ratios over the usual one.
    ///
    /// A request that has already waited longer than would count as usual is
    /// an observation, too. Otherwise a slow period would show only after the
    /// slow answers have begun.
    pub fn factor(&self, usual: UsualRatio, now: Time) -> f64 {
        let usual = usual.ratio();
        let mut ratios = Vec::with_capacity(SAMPLES);
        for pending in self.pending.iter().rev() {
            let waited = now.since(pending.sent);
            let ratio = waited.as_secs_f64() * 1e3 / pending.expected_ms;
            if ratio >= usual * MIN_FACTOR && ratios.len() < SAMPLES {
                ratios.push(ratio);
            }
        }
        for (at, ratio) in self.samples.iter().rev() {
            if now.since(*at) < MAX_AGE && ratios.len() < SAMPLES {
                ratios.push(*ratio);
            }
        }
        if ratios.len() < SAMPLES {
            return 1.0;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        let factor = ratios[SAMPLES / 2] / usual;
        if factor < MIN_FACTOR { 1.0 } else { factor.min(MAX_FACTOR) }
    }
}

/// The usual ratio of the observed to the expected time to the first byte, of
/// all replicas of a service. It corrects errors of the latency model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualRatio {
    log_mean: f64,
    count: u32,
}

impl UsualRatio {
    /// The number of requests over which the mean is taken.
    const WINDOW: u32 = 256;

    /// Records a ratio of an observed to the expected time. The mean is that
    /// of logarithms, so that single long delays change it little.
    pub fn record(&mut self, ratio: f64) {
        self.count = (self.count + 1).min(UsualRatio::WINDOW);
        let log = ratio.max(0.01).ln();
        self.log_mean += (log - self.log_mean) / f64::from(self.count);
    }

    fn ratio(self) -> f64 {
        self.log_mean.exp()
    }
}
