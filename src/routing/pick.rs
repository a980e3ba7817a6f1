//! The choice between candidates.

use crate::rank;

/// A server that could take a request, as one entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    name: &'a str,
    load: u32,
    near: bool,
}

impl<'a> Candidate<'a> {
    /// Returns a candidate with its load: the requests that this entry has in
    /// progress there, or that the server last reported if these are more.
    /// `near` says whether it is in the entry's own data hall.
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

/// How many requests more a server of the own hall may have before one of
/// another hall is taken: the few milliseconds between halls are worth less
/// than a step of an engine, but links are thin.
const CROSS_HALL_REQUESTS: u32 = 8;

/// How much above the mean the load of a server may be for it to keep the
/// requests of a prefix, in quarters.
const AFFINITY_LIMIT_QUARTERS: u32 = 5;

/// Picks one of the candidates and returns its index.
///
/// `draws` are two random numbers; `prefix` is the start of the request,
/// which a server that has seen it answers sooner. The server first in rank
/// for the prefix is taken if its load is not far above the mean, so that a
/// popular prefix spreads; otherwise the less loaded of two at random.
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
