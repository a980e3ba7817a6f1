//! The speed of a replica, from the times to the first byte.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// How long an observation counts. Slow periods of 0.6 s have to be forgotten
/// within about 0.5 s.
const MAX_AGE: Duration = Duration::from_millis(500);

/// The maximum number of observations.
const MAX_SAMPLES: usize = 7;

/// The number of observations needed, so that a single one changes nothing.
const MIN_SAMPLES: usize = 3;

/// The least factor that counts. Smaller ones are within the noise of the
/// latency model.
const MIN_FACTOR: f64 = 1.4;

/// The highest factor, by which even an idle replica gets few requests.
const MAX_FACTOR: f64 = 4.0;

/// The recent times to the first byte of one process lifetime of a replica,
/// as ratios to the expected times.
#[derive(Clone, Debug, Default)]
pub struct FirstByteSpeed {
    samples: VecDeque<(Time, f64)>,
}

impl FirstByteSpeed {
    /// Records a ratio of an observed to the expected time.
    pub fn record(&mut self, ratio: f64, now: Time) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, ratio));
    }

    /// Returns the factor by which the replica is slower than is usual in its
    /// service, at least 1: the median of the recent ratios over the usual
    /// one.
    pub fn factor(&self, usual: UsualRatio, now: Time) -> f64 {
        let mut ratios = Vec::with_capacity(MAX_SAMPLES);
        for (at, ratio) in &self.samples {
            if now.since(*at) < MAX_AGE {
                ratios.push(*ratio);
            }
        }
        if ratios.len() < MIN_SAMPLES {
            return 1.0;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        let factor = ratios[ratios.len() / 2] / usual.ratio();
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
