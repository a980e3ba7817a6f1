//! Figures of runs: spread, processor time, memory.

use std::time::Duration;

/// Least, median and most of some figures.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The least.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The most.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of figures; zeros if there are none.
    pub fn of(figures: &[f64]) -> Spread {
        let mut sorted = figures.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |i: usize| sorted.get(i).copied().unwrap_or_default();
        Spread {
            min: at(0),
            median: at(sorted.len() / 2),
            max: at(sorted.len().saturating_sub(1)),
        }
    }
}

/// Returns the processor time of this process so far.
pub fn processor() -> Duration {
    // Fields 14 and 15 of /proc/self/stat are user and system ticks; the
    // second field may hold blanks, so counting starts behind its bracket.
    const TICKS: u64 = 100;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> =
        rest.split_whitespace().map(|f| f.parse().unwrap_or(0)).collect();
    let ticks: u64 = fields.iter().skip(11).take(2).sum();
    Duration::from_millis(ticks * 1000 / TICKS)
}

/// Returns the resident memory of this process, in bytes.
pub fn memory() -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
