//! Statistics of runs, CPU time and memory.

use std::time::Duration;

/// Minimum, median and maximum of a set of values.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of the values, or zeros if there are none.
    pub fn of(values: &[f64]) -> Spread {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |i: usize| sorted.get(i).copied().unwrap_or_default();
        Spread {
            min: at(0),
            median: at(sorted.len() / 2),
            max: at(sorted.len().saturating_sub(1)),
        }
    }
}

/// Returns the CPU time that this process has used so far.
pub fn cpu_time() -> Duration {
    // Fields 14 and 15 of /proc/self/stat are user and system ticks. The
    // second field may contain spaces, so parsing starts after its closing
    // parenthesis.
    const TICKS_PER_S: u64 = 100;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> =
        rest.split_whitespace().map(|f| f.parse().unwrap_or(0)).collect();
    let ticks: u64 = fields.iter().skip(11).take(2).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_S)
}

/// Returns the resident set size of this process, in bytes.
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
