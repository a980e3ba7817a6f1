//! What a request is bound to when it is admitted.

use super::{Fence, Target};

/// A loaded target, and the fence of the order that loaded it.
///
/// A request is bound to it at admission. The engine echoes version and fence
/// in the head of its answer, and an answer that does not fit is withheld:
/// not every engine checks what it is asked for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoadedTarget {
    target: Target,
    fence: Fence,
}

impl LoadedTarget {
    /// Returns what a load order under a fence has brought about.
    pub const fn new(target: Target, fence: Fence) -> LoadedTarget {
        LoadedTarget { target, fence }
    }

    /// Returns what is loaded.
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the fence that it was loaded under.
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether an answer that echoes a version and a fence comes from
    /// what the request was bound to.
    pub fn matches(&self, version: &str, fence: &str) -> bool {
        **self.target.version() == *version
            && fence.parse().is_ok_and(|f: Fence| f == self.fence)
    }
}
