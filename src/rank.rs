//! Rendezvous hashing.
//!
//! The score of a member for a subject is a hash of both, and the members are
//! ordered by score. All processes compute the same order without
//! coordination. When a member joins or leaves, only the subjects for which
//! it ranks first are reassigned.

use std::sync::Arc;

/// Returns the score of `member` for `subject`. The highest score ranks
/// first.
pub fn score(subject: &[u8], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member.as_bytes());
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_at(8);
    u64::from_le_bytes(head.try_into().unwrap_or([0; 8]))
}

/// Returns `members` in rank order for `subject`.
///
/// # Examples
///
/// ```
/// use stairhinge::rank;
///
/// let all = ["a", "b", "c"].map(Into::into);
/// let one = rank::order(b"key", all.iter());
/// let two = rank::order(b"key", all.iter().rev());
/// assert_eq!(one, two);
/// ```
pub fn order<'a>(
    subject: &[u8],
    members: impl IntoIterator<Item = &'a Arc<str>>,
) -> Vec<Arc<str>> {
    let mut scored = Vec::new();
    for member in members {
        scored.push((score(subject, member), Arc::clone(member)));
    }
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, m)| m).collect()
}

/// Returns the first-ranked member for `subject`, or `None` if there are no
/// members.
pub fn first<'a>(
    subject: &[u8],
    members: impl IntoIterator<Item = &'a Arc<str>>,
) -> Option<Arc<str>> {
    members
        .into_iter()
        .max_by(|a, b| {
            let (x, y) = (score(subject, a), score(subject, b));
            x.cmp(&y).then_with(|| b.cmp(a))
        })
        .map(Arc::clone)
}
