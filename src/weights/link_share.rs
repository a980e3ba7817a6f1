//! The share of a link that chunk transfers may use.
//!
//! A link may carry less than its nominal rate; a queue then builds up in
//! front of requests and answers. The delay of small probes reveals that
//! queue. Above a target delay the share is cut, below it the share slowly
//! grows again, as in Low Extra Delay Background Transport (RFC 6817).

use std::time::Duration;

/// The share of a link's nominal rate that chunk transfers may use, from
/// [`LinkShare::MIN_SHARE`] to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkShare {
    download: f64,
    upload: f64,
}

impl LinkShare {
    /// The probe delay above which the link counts as full.
    pub const TARGET_DELAY: Duration = Duration::from_millis(100);

    /// The minimum share, with which a transfer still makes progress.
    pub const MIN_SHARE: f64 = 0.03;

    /// The upload share isn't cut below this while probe delays stay below
    /// [`LinkShare::CONGESTED_DELAY`]. Such delays also occur where all agents
    /// send to one another; a link that carries less than its nominal rate
    /// shows longer ones.
    pub const MIN_UNCONGESTED_UPLOAD: f64 = 0.85;

    /// The probe delay from which the link is taken to carry less than its
    /// nominal rate.
    pub const CONGESTED_DELAY: Duration = Duration::from_millis(400);

    /// The upload share below which the link is too poor to serve chunks, and
    /// peers do better with another source.
    pub const MIN_UPLOAD_TO_SERVE: f64 = 0.15;

    /// The increase of the share per probe that found no queue.
    const MAX_GROWTH: f64 = 0.04;

    /// The factors by which the share is cut at the most and at the least.
    const CUT_RANGE: (f64, f64) = (0.2, 0.8);

    /// Returns the full share.
    pub const fn new() -> LinkShare {
        LinkShare { download: 1.0, upload: 1.0 }
    }

    /// Adjusts the shares to the delay of one probe.
    pub fn record_delay(&mut self, delay: Duration) {
        self.download = LinkShare::adjusted(self.download, delay);
        let next = LinkShare::adjusted(self.upload, delay);
        let is_uncongested = delay < LinkShare::CONGESTED_DELAY;
        let minimum = self.upload.min(LinkShare::MIN_UNCONGESTED_UPLOAD);
        self.upload = if is_uncongested { next.max(minimum) } else { next };
    }

    fn adjusted(share: f64, delay: Duration) -> f64 {
        let ratio =
            delay.as_secs_f64() / LinkShare::TARGET_DELAY.as_secs_f64();
        let next = if ratio > 1.0 {
            let (strongest, weakest) = LinkShare::CUT_RANGE;
            share * (1.0 / ratio).clamp(strongest, weakest)
        } else {
            share + LinkShare::MAX_GROWTH * (1.0 - ratio)
        };
        next.clamp(LinkShare::MIN_SHARE, 1.0)
    }

    /// Returns the download share, from [`LinkShare::MIN_SHARE`] to 1.
    pub const fn download(&self) -> f64 {
        self.download
    }

    /// Returns the upload share, from [`LinkShare::MIN_SHARE`] to 1.
    ///
    /// It is cut less than the download share: probe delays are usually caused
    /// by incoming chunks, which fewer requests reduce, and not by what this
    /// link sends.
    pub const fn upload(&self) -> f64 {
        self.upload
    }

    /// Returns whether the link is too poor to serve chunks.
    pub fn is_poor(&self) -> bool {
        self.upload < LinkShare::MIN_UPLOAD_TO_SERVE
    }

    /// Returns how many of at most `limit` requests may be outstanding.
    pub fn max_requests(&self, limit: usize) -> usize {
        ((limit as f64 * self.download) as usize).max(1)
    }
}

impl Default for LinkShare {
    fn default() -> LinkShare {
        LinkShare::new()
    }
}
