//! The newest reports received from other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::Time;

use crate::control::Report;

/// A report and the time of its receipt.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The received report.
    pub report: Report,
    /// The time of receipt by this process's monotonic clock.
    pub at: Time,
}

/// The newest report from each process, by instance name.
#[derive(Debug, Default)]
pub struct Peers {
    map: HashMap<Arc<str>, ReceivedReport>,
}

impl Peers {
    /// Stores a report, unless one of a later incarnation is known.
    pub fn record(&mut self, report: Report, at: Time) {
        let known = self.map.get(&report.name);
        if known.is_some_and(|k| k.report.incarnation > report.incarnation) {
            return;
        }
        self.map
            .insert(Arc::clone(&report.name), ReceivedReport { report, at });
    }

    /// Returns the newest report of an instance.
    pub fn get(&self, name: &str) -> Option<&ReceivedReport> {
        self.map.get(name)
    }

    /// Returns an instance's control address from its newest report.
    pub fn control(&self, name: &str) -> Option<SocketAddr> {
        self.map.get(name)?.report.control
    }

    /// Returns an iterator over all reports, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &ReceivedReport> {
        self.map.values()
    }

    /// Removes the reports that were received before `since`.
    pub fn forget(&mut self, since: Time) {
        self.map.retain(|_, received| received.at >= since);
    }
}
