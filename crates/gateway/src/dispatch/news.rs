//! Exchange of new routes and target versions through agents' reports.

use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge_shell::directory::{News, TargetAge};

use super::Dispatcher;
use crate::report::EngineReport;

impl Dispatcher {
    /// Records the target versions in a report and their ages.
    pub(crate) fn learn_targets(&self, report: &EngineReport) {
        if let Some(news) = &report.news {
            self.facts.learn_targets(&news.targets);
        }
    }

    /// Returns the news with the highest routes revision that any agent has
    /// reported.
    pub(crate) fn newest_news(&self) -> Option<News> {
        let state = self.lock();
        let news = state
            .known
            .values()
            .filter_map(|k| k.reported.as_ref()?.report.news.as_ref());
        news.max_by_key(|news| news.revision).cloned()
    }

    /// Returns the addresses of the replicas with engines in this hall.
    pub(crate) fn local_engines(&self) -> Vec<SocketAddr> {
        let view = self.facts.view();
        let mut engines = Vec::new();
        for (replica, _) in view.replicas.values() {
            let near = replica.hall == self.hall;
            if near && view.engine(&replica.service).is_some() {
                engines.push(replica.addr);
            }
        }
        engines
    }

    /// Returns the addresses of the replicas in this hall that serve a
    /// version, by their agents' reports.
    pub(crate) fn serving_replicas(
        &self,
        model: &str,
        version: u64,
    ) -> Vec<SocketAddr> {
        let view = self.facts.view();
        let state = self.lock();
        let mut serving = Vec::new();
        for (incarnation, known) in &state.known {
            let Some(reported) = &known.reported else { continue };
            let report = &reported.report;
            let holds = report.up
                && report.version == Some(version)
                && report.model.as_deref() == Some(model);
            let listed = view.replicas.get(incarnation);
            if let Some((replica, _)) = listed.filter(|_| holds)
                && replica.hall == self.hall
            {
                serving.push(replica.addr);
            }
        }
        serving
    }

    /// Returns the addresses of the replicas whose agents should be sent some
    /// news: all that lack a target version, and those that lack only the
    /// routes among the first `most` of this hall.
    pub(crate) fn lagging_agents(
        &self,
        news: &News,
        most: usize,
    ) -> Vec<SocketAddr> {
        let view = self.facts.view();
        let state = self.lock();
        let mut near: Vec<(&Arc<str>, SocketAddr, u64)> = Vec::new();
        let mut behind = Vec::new();
        for (incarnation, known) in &state.known {
            let Some(reported) = &known.reported else { continue };
            let Some((replica, _)) = view.replicas.get(incarnation) else {
                continue;
            };
            let theirs = reported.report.news.as_ref();
            let Some(theirs) = theirs else { continue };
            let knows = |t: &TargetAge| {
                let same = |o: &TargetAge| {
                    o.model == t.model && o.version >= t.version
                };
                theirs.targets.iter().any(same)
            };
            if !news.targets.iter().all(knows) {
                behind.push(replica.addr);
            } else if replica.hall == self.hall {
                near.push((incarnation, replica.addr, theirs.revision));
            }
        }
        // Sorting makes all entries of the hall select the same agents, so
        // that few are notified.
        near.sort_unstable();
        for (_, addr, revision) in near.into_iter().take(most) {
            if revision < news.revision {
                behind.push(addr);
            }
        }
        behind
    }
}
