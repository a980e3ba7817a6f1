//! The loaded target that a request is bound to at admission.

use super::{Fence, Target};

/// A loaded target, with the fence of the order that loaded it.
///
/// A request is bound to a loaded target at admission. The engine returns its
/// version and fence in the response headers, and the agent withholds a
/// response that does not match, because not every engine checks the version
/// and fence of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoadedTarget {
    target: Target,
    fence: Fence,
}

impl LoadedTarget {
    /// Returns the result of a load order given under `fence`.
    pub const fn new(target: Target, fence: Fence) -> LoadedTarget {
        LoadedTarget { target, fence }
    }

    /// Returns the target that is loaded.
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the fence of the order that loaded the target.
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether a response with this version and fence comes from this
    /// loaded target.
    pub fn matches(&self, version: &str, fence: &str) -> bool {
        **self.target.version() == *version
            && fence.parse().is_ok_and(|f: Fence| f == self.fence)
    }
}
