//! Time limits for reads shared within a data hall, as fractions of the time
//! in which a change has to take effect.

use std::sync::Arc;
use std::time::Duration;

use super::{HallReader, Share};

/// How the processes of a data hall share reads of the platform.
#[derive(Clone)]
pub struct Sharing {
    /// The data that this process serves to others.
    pub share: Arc<Share>,
    /// How this process asks others.
    pub reader: Arc<dyn HallReader>,
    /// The time in which a change has to take effect. The age of the data
    /// served to others must leave time to notice that the reader has failed.
    pub bound: Duration,
    /// How long the platform holds a watch, for a process that serves nothing
    /// to others; `None` for a fraction of the bound.
    pub watch: Option<Duration>,
}

impl Sharing {
    /// Returns how long the reader holds a question. Data may pass through two
    /// processes on its way, and the ages of their answers add up.
    pub(super) fn wait(&self) -> Duration {
        self.bound / 8
    }

    /// Returns the timeout for fetching a full document.
    pub(super) fn fetch(&self) -> Duration {
        self.bound / 2
    }

    /// Returns the maximum age of a usable answer of the reader.
    pub(super) fn most_age(&self) -> Duration {
        self.bound * 3 / 5
    }

    /// Returns how long the platform holds a watch. A pending watch doesn't
    /// show whether the platform still responds, and one that starts while the
    /// platform doesn't respond gets no answer even after it has recovered.
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

    /// Returns the interval between the starts of two probes of a platform
    /// that has failed, whether or not the first one has been answered. A call
    /// that starts while the platform doesn't respond gets no answer even
    /// after it has recovered.
    pub(super) fn probe(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the minimum interval between two calls to the platform while
    /// others ask this process.
    pub(super) fn pace(&self) -> Duration {
        self.bound / 8
    }

    /// Returns the age of its data from which on a process no longer leaves
    /// the reading to others. Others with older data than
    /// [`most_age`](Sharing::most_age) don't count as readers, and the next
    /// ones have a tenth of the bound to answer.
    pub(super) fn overdue(&self) -> Duration {
        self.bound * 7 / 10
    }

    /// Returns the timeout of a small read.
    pub(super) fn small_read(&self) -> Duration {
        self.bound / 2
    }

    /// Returns how much later than the one ranked before it a process reads
    /// documents.
    pub(super) fn documents_slot(&self) -> Duration {
        self.bound / 20
    }
}
