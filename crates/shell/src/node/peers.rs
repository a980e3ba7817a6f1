//! What has been heard from other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::Time;

use crate::control::Report;

/// A report and when it came.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The report.
    pub report: Report,
    /// When it came, by the own clock.
    pub at: Time,
}

/// The newest report from each process.
#[derive(Debug, Default)]
pub struct Peers {
    map: HashMap<Arc<str>, Heard>,
}

impl Peers {
    /// Takes in a report, unless it is from an earlier incarnation.
    pub fn hear(&mut self, report: Report, at: Time) {
        let known = self.map.get(&report.name);
        if known.is_some_and(|k| k.report.incarnation > report.incarnation) {
            return;
        }
        self.map.insert(Arc::clone(&report.name), Heard { report, at });
    }

    /// Returns what was last heard from a process.
    pub fn get(&self, name: &str) -> Option<&Heard> {
        self.map.get(name)
    }

    /// Returns where a process takes control calls, as it said itself.
    pub fn control(&self, name: &str) -> Option<SocketAddr> {
        self.map.get(name)?.report.control
    }

    /// Returns all that was heard.
    pub fn iter(&self) -> impl Iterator<Item = &Heard> {
        self.map.values()
    }

    /// Forgets processes that have been silent since before `since`.
    pub fn forget(&mut self, since: Time) {
        self.map.retain(|_, heard| heard.at >= since);
    }
}
