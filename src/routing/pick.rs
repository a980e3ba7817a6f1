//! The choice between candidate servers.

use crate::rank;

/// A server that may be chosen for a request, as seen by one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    name: &'a str,
    load: u32,
    near: bool,
}

impl<'a> Candidate<'a> {
    /// Returns a candidate.
    ///
    /// `load` is the larger of the number of requests that this entry has in
    /// progress there and the number that the server last reported. `near`
    /// tells whether the server is in the entry's own data hall.
    pub const fn new(name: &'a str, load: u32, near: bool) -> Candidate<'a> {
        Candidate { name, load, near }
    }

    /// Returns the name.
    pub const fn name(&self) -> &'a str {
        self.name
    }

    fn cost(&self) -> u32 {
        let far = if self.near { 0 } else { CROSS_HALL_REQUESTS };
        self.load + far
    }
}

/// The number of additional requests that a server of the own hall may have
/// before a server of another hall is chosen. The latency between halls, a few
/// milliseconds, is less than an engine step, but the links have little
/// bandwidth.
const CROSS_HALL_REQUESTS: u32 = 8;

/// The maximum load, in quarters of the mean load, at which a server keeps
/// the requests of its prefixes.
const AFFINITY_LIMIT_QUARTERS: u32 = 5;

/// Chooses one of the candidates and returns its index, or `None` if there
/// are none.
///
/// `draws` are two random numbers. `prefix` is the start of the request; a
/// server that has processed the same prefix before responds faster. The
/// first-ranked server for the prefix is chosen unless its load is far above
/// the mean, so that the requests of a popular prefix spread. Otherwise the
/// less loaded of two random candidates is chosen.
///
/// # Examples
///
/// ```
/// use stairhinge::routing::{Candidate, pick};
///
/// let all = [Candidate::new("a", 9, true), Candidate::new("b", 2, true)];
/// assert_eq!(pick(&all, (0, 1), None), Some(1));
/// assert_eq!(pick(&[], (0, 1), None), None);
/// ```
pub fn pick(
    candidates: &[Candidate<'_>],
    draws: (u64, u64),
    prefix: Option<&[u8]>,
) -> Option<usize> {
    let count = candidates.len() as u64;
    if count == 0 {
        return None;
    }
    if let Some(prefix) = prefix
        && let Some(i) = prefix_server(candidates, prefix)
    {
        return Some(i);
    }
    let a = (draws.0 % count) as usize;
    let mut b = (draws.1 % count) as usize;
    if a == b {
        b = (b + 1) % candidates.len();
    }
    let less = candidates[b].cost() < candidates[a].cost();
    Some(if less { b } else { a })
}

fn prefix_server(
    candidates: &[Candidate<'_>],
    prefix: &[u8],
) -> Option<usize> {
    let near = candidates.iter().any(|c| c.near);
    let mut best: Option<(u64, usize)> = None;
    let (mut sum, mut count) = (0, 0);
    for (i, candidate) in candidates.iter().enumerate() {
        if candidate.near != near {
            continue;
        }
        sum += candidate.load;
        count += 1;
        let score = rank::score(prefix, candidate.name);
        if best.is_none_or(|(s, _)| score > s) {
            best = Some((score, i));
        }
    }
    let (_, i) = best?;
    let bound = (sum * AFFINITY_LIMIT_QUARTERS).div_ceil(4 * count) + 1;
    (candidates[i].load <= bound).then_some(i)
}
