//! News between processes, as far as agents' reports carry them.

use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge_shell::directory::{News, TargetAge};

use super::Dispatcher;
use crate::report::EngineReport;

impl Dispatcher {
    /// Learns from a report which versions are named, and how long ago.
    pub(crate) fn learn_targets(&self, report: &EngineReport) {
        if let Some(news) = &report.news {
            self.facts.learn_targets(&news.targets);
        }
    }

    /// Returns the newest routes that any agent tells of.
    pub(crate) fn newest_news(&self) -> Option<News> {
        let state = self.lock();
        let told = state
            .known
            .values()
            .filter_map(|k| k.reported.as_ref()?.report.news.as_ref());
        told.max_by_key(|news| news.revision).cloned()
    }

    /// Returns where the engines of the own hall are.
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

    /// Returns the replicas of the own hall that serve a version, by the
    /// reports of their agents.
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

    /// Returns the replicas whose agents should be told some news: all that
    /// do not know of a version, and `most` of the own hall that do not know
    /// of the routes.
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
        // The same ones for all entries of the hall, so that few are told.
        near.sort_unstable();
        for (_, addr, revision) in near.into_iter().take(most) {
            if revision < news.revision {
                behind.push(addr);
            }
        }
        behind
    }
}
