//! The features by which a request is recognised.

use super::Fingerprint;

/// The fingerprints of a request: that of its whole content, and those of the
/// parts of its prompt that other requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFeatures {
    /// The whole content.
    pub request: Fingerprint,
    /// The parts, without duplicates.
    parts: Vec<Fingerprint>,
}

impl RequestFeatures {
    /// The maximum number of parts by which a request is recognised; further
    /// ones are ignored.
    pub const MAX_PARTS: usize = 64;

    /// Returns the features of a request with these parts in its prompt, the
    /// one that is its own left out.
    pub fn new<'a>(
        request: Fingerprint,
        parts: impl IntoIterator<Item = &'a str>,
    ) -> RequestFeatures {
        let names = parts.into_iter().take(RequestFeatures::MAX_PARTS);
        let parts = names.map(Fingerprint::of_part).collect();
        RequestFeatures::from_parts(request, parts)
    }

    /// Returns the features of a request whose parts have these fingerprints.
    pub fn from_parts(
        request: Fingerprint,
        mut parts: Vec<Fingerprint>,
    ) -> RequestFeatures {
        parts.truncate(RequestFeatures::MAX_PARTS);
        parts.sort_unstable();
        parts.dedup();
        RequestFeatures { request, parts }
    }

    /// Returns the fingerprints of the parts.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// Returns the fingerprints of the request and of its parts.
    pub(super) fn all(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        [self.request].into_iter().chain(self.parts.iter().copied())
    }

    /// Returns whether a feature is one of the request.
    pub(super) fn contains(&self, feature: Fingerprint) -> bool {
        feature == self.request || self.parts.binary_search(&feature).is_ok()
    }
}

impl From<Fingerprint> for RequestFeatures {
    /// Returns the features of a request without shared parts.
    fn from(request: Fingerprint) -> RequestFeatures {
        RequestFeatures { request, parts: Vec::new() }
    }
}
