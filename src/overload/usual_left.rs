//! The time that callers usually have left, by which callers that were
//! refused by other processes are recognised.
//!
//! A caller that returns has less time left than when it began. Callers set
//! different deadlines, so only one with much less time left than is usual in
//! its class is taken for a returning one. This errs for callers that set much
//! shorter deadlines than the others of their workspace, or of their class if
//! their workspace sends few requests, and it does not recognise callers that
//! return soon.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// Recent observations of a time left.
#[derive(Clone, Debug)]
struct RecentLeft {
    /// The time left in milliseconds, and when it was observed.
    samples: VecDeque<(Time, u32)>,
    max_samples: usize,
    interval: Duration,
    max_age: Duration,
}

impl RecentLeft {
    /// The quantile that counts as usual. It is below the maximum so that a
    /// few callers with longer deadlines do not make all others appear late,
    /// and so high that it is that of new callers as long as these are one in
    /// ten or more.
    const QUANTILE: f64 = 0.9;

    const fn new(
        max_samples: usize,
        interval: Duration,
        max_age: Duration,
    ) -> RecentLeft {
        let samples = VecDeque::new();
        RecentLeft { samples, max_samples, interval, max_age }
    }

    fn record(&mut self, left_ms: u32, now: Time) {
        while let Some((at, _)) = self.samples.front() {
            if now.since(*at) <= self.max_age {
                break;
            }
            self.samples.pop_front();
        }
        if let Some((at, _)) = self.samples.back()
            && now.since(*at) < self.interval
        {
            return;
        }
        if self.samples.len() == self.max_samples {
            self.samples.pop_front();
        }
        self.samples.push_back((now, left_ms));
    }

    /// Returns the usual time left, in milliseconds, or `None` if fewer than
    /// `min` samples are recent.
    fn usual(&self, min: usize, now: Time) -> Option<u32> {
        let mut recent: Vec<u32> = Vec::with_capacity(self.samples.len());
        for (at, left) in &self.samples {
            if now.since(*at) <= self.max_age {
                recent.push(*left);
            }
        }
        if recent.is_empty() || recent.len() < min {
            return None;
        }
        let rank = (recent.len() as f64 * RecentLeft::QUANTILE) as usize;
        let at = rank.min(recent.len() - 1);
        let (_, usual, _) = recent.select_nth_unstable(at);
        Some(*usual)
    }

    fn last(&self) -> Time {
        self.samples.back().map_or(Time::ZERO, |(at, _)| *at)
    }
}

/// The usual time left of one class of requests, and of its workspaces.
#[derive(Clone, Debug)]
pub struct UsualLeft {
    class: RecentLeft,
    workspaces: HashMap<Arc<str>, RecentLeft>,
}

impl UsualLeft {
    /// The maximum number of samples of a class.
    const CLASS_SAMPLES: usize = 128;

    /// The minimum interval between two samples of a class, so that its
    /// samples span some seconds.
    const CLASS_INTERVAL: Duration = Duration::from_millis(20);

    /// The age up to which a sample of a class counts.
    const CLASS_MAX_AGE: Duration = Duration::from_secs(8);

    /// The maximum number of samples of a workspace.
    const WORKSPACE_SAMPLES: usize = 32;

    /// The number of samples from which a workspace's own usual time is used
    /// in place of that of its class. With 8, small workspaces with shorter
    /// deadlines were served after others for more than 10 s.
    const WORKSPACE_MIN: usize = 4;

    /// The minimum interval between two samples of a workspace.
    const WORKSPACE_INTERVAL: Duration = Duration::from_millis(80);

    /// The age up to which a sample of a workspace counts. It is long, since
    /// a small workspace sends a request every few seconds.
    const WORKSPACE_MAX_AGE: Duration = Duration::from_secs(30);

    /// The part of the usual time by which the deadlines of new callers may
    /// differ. Callers that return have mostly waited for longer.
    const SPREAD_DIVISOR: u32 = 6;

    /// The maximum number of workspaces for each class; at most 0.5 MB.
    const MAX_WORKSPACES: usize = 1_024;

    /// Returns the state before the first observation.
    pub fn new() -> UsualLeft {
        UsualLeft {
            class: RecentLeft::new(
                UsualLeft::CLASS_SAMPLES,
                UsualLeft::CLASS_INTERVAL,
                UsualLeft::CLASS_MAX_AGE,
            ),
            workspaces: HashMap::new(),
        }
    }

    /// Records the time left of a request that arrived at `now`, in
    /// milliseconds.
    pub fn record(
        &mut self,
        workspace: Option<&Arc<str>>,
        left_ms: u32,
        now: Time,
    ) {
        self.class.record(left_ms, now);
        let Some(workspace) = workspace else { return };
        if let Some(known) = self.workspaces.get_mut(workspace) {
            known.record(left_ms, now);
            return;
        }
        if self.workspaces.len() >= UsualLeft::MAX_WORKSPACES {
            self.workspaces.retain(|_, known| {
                now.since(known.last()) <= UsualLeft::WORKSPACE_MAX_AGE
            });
        }
        if self.workspaces.len() >= UsualLeft::MAX_WORKSPACES {
            return;
        }
        let mut known = RecentLeft::new(
            UsualLeft::WORKSPACE_SAMPLES,
            UsualLeft::WORKSPACE_INTERVAL,
            UsualLeft::WORKSPACE_MAX_AGE,
        );
        known.record(left_ms, now);
        self.workspaces.insert(Arc::clone(workspace), known);
    }

    /// Returns how long ago a caller with `left_ms` left began at least. It is
    /// zero for callers that may be new.
    pub fn begun_ago(
        &self,
        workspace: Option<&Arc<str>>,
        left_ms: u32,
        now: Time,
    ) -> Duration {
        let own = workspace.and_then(|name| self.workspaces.get(name));
        let usual = own
            .and_then(|known| known.usual(UsualLeft::WORKSPACE_MIN, now))
            .or_else(|| self.class.usual(1, now))
            .unwrap_or(left_ms);
        let shortest = usual - usual / UsualLeft::SPREAD_DIVISOR;
        Duration::from_millis(u64::from(shortest.saturating_sub(left_ms)))
    }
}

impl Default for UsualLeft {
    fn default() -> UsualLeft {
        UsualLeft::new()
    }
}
