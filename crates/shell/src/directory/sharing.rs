//! How long the steps of shared reading may take, as shares of the bound that
//! they serve.

use std::sync::Arc;
use std::time::Duration;

use super::{HallReader, Share};

/// How a hall's processes share reading.
#[derive(Clone)]
pub struct Sharing {
    /// What this process hands on.
    pub share: Arc<Share>,
    /// Whom it asks itself.
    pub reader: Arc<dyn HallReader>,
    /// Within which a change has to be in force: what others are told must
    /// leave time to notice that the reader has failed.
    pub bound: Duration,
    /// How long a watch waits at the platform, where that is not a share of
    /// the bound: of a process that hands nothing on.
    pub watch: Option<Duration>,
}

impl Sharing {
    /// Returns how long a question waits at the reader. There may be two on
    /// the way, and the ages of their answers add up.
    pub(super) fn wait(&self) -> Duration {
        self.bound / 8
    }

    /// Returns how long a whole document may take.
    pub(super) fn fetch(&self) -> Duration {
        self.bound / 2
    }

    /// Returns from which age on the reader's answers are of no use.
    pub(super) fn most_age(&self) -> Duration {
        self.bound * 3 / 5
    }

    /// Returns how long a watch waits: while it waits it says nothing of the
    /// platform, and one that is begun while the platform is silent gets no
    /// answer once that is over.
    pub(super) fn watch(&self) -> Duration {
        if let Some(watch) = self.watch {
            return watch;
        }
        if self.share.reads_for_others() {
            self.bound / 6
        } else {
            self.bound / 3
        }
    }

    /// Returns how long after a call to a platform that has failed the next
    /// one begins, whether or not that has an answer: a call that begins in
    /// the platform's silence gets none once that is over.
    pub(super) fn probe(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the least span between two calls while others ask.
    pub(super) fn pace(&self) -> Duration {
        self.bound / 8
    }
}
