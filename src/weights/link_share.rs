//! How much of a link chunks may take beside answers.
//!
//! A link may carry less than it is said to, and then what is sent queues up
//! in front of answers. The delay of small probes shows the queue: beyond a
//! target the share is cut, below it grows again slowly, as in low extra
//! delay background transport (RFC 6817).

use std::time::Duration;

/// The share of a link that chunks may take, between a least and all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkShare {
    download: f64,
    upload: f64,
}

impl LinkShare {
    /// The delay of a probe from which the link counts as full.
    pub const TARGET_DELAY: Duration = Duration::from_millis(100);

    /// The least share: a transfer goes on, if slowly.
    pub const MIN_SHARE: f64 = 0.03;

    /// The share for sending that is kept while probes are late but not very
    /// late: that much queues up where all agents send to one another, and a
    /// link that carries less than it is said to shows by longer delays.
    pub const MIN_UNCONGESTED_UPLOAD: f64 = 0.85;

    /// The delay of a probe from which the link carries less than it is said
    /// to.
    pub const CONGESTED_DELAY: Duration = Duration::from_millis(400);

    /// A link that leaves less than this for sending is too poor to pass
    /// chunks on: whoever waits for them is better off elsewhere.
    pub const MIN_UPLOAD_TO_SERVE: f64 = 0.15;

    /// How much the share grows with a probe that found no queue.
    const MAX_GROWTH: f64 = 0.04;

    /// The share is cut to this part at the most, and at the least.
    const CUT_RANGE: (f64, f64) = (0.2, 0.8);

    /// Returns a share of all that the link is said to carry.
    pub const fn new() -> LinkShare {
        LinkShare { download: 1.0, upload: 1.0 }
    }

    /// Takes in how long a probe took.
    pub fn record_delay(&mut self, delay: Duration) {
        self.download = LinkShare::adjusted(self.download, delay);
        let next = LinkShare::adjusted(self.upload, delay);
        let only_late = delay < LinkShare::CONGESTED_DELAY;
        let kept = self.upload.min(LinkShare::MIN_UNCONGESTED_UPLOAD);
        self.upload = if only_late { next.max(kept) } else { next };
    }

    fn adjusted(share: f64, delay: Duration) -> f64 {
        let over = delay.as_secs_f64() / LinkShare::TARGET_DELAY.as_secs_f64();
        let next = if over > 1.0 {
            let (least, most) = LinkShare::CUT_RANGE;
            share * (1.0 / over).clamp(least, most)
        } else {
            share + LinkShare::MAX_GROWTH * (1.0 - over)
        };
        next.clamp(LinkShare::MIN_SHARE, 1.0)
    }

    /// Returns the share, from [`LinkShare::MIN_SHARE`] to 1.
    pub const fn download(&self) -> f64 {
        self.download
    }

    /// Returns the share for what is sent, from [`LinkShare::MIN_SHARE`] to 1.
    ///
    /// Late probes come as a rule from what is on its way here, which fewer
    /// questions make less, and not from what this link sends.
    pub const fn upload(&self) -> f64 {
        self.upload
    }

    /// Returns whether the link is too poor to pass chunks on.
    pub fn is_poor(&self) -> bool {
        self.upload < LinkShare::MIN_UPLOAD_TO_SERVE
    }

    /// Returns how many of `most` questions may be out at a time.
    pub fn max_requests(&self, most: usize) -> usize {
        ((most as f64 * self.download) as usize).max(1)
    }
}

impl Default for LinkShare {
    fn default() -> LinkShare {
        LinkShare::new()
    }
}
