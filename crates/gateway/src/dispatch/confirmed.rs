//! The version of a replica's weights that its agent has confirmed.
//!
//! The platform's list tells which version a replica has loaded, and not
//! whether its agent knows the chunks to have been intact. An entry remembers
//! what the agent last confirmed. So a load that was ordered by an agent that
//! has ended gets no requests until an agent has confirmed it.

use std::sync::Arc;

use crate::report::{EngineReport, Provenance};

/// What the agents of one replica have confirmed.
#[derive(Debug, Default, Eq, PartialEq)]
pub(super) enum ConfirmedVersion {
    /// No agent has reported to this entry, so the list decides.
    #[default]
    Unknown,
    /// No version is confirmed.
    Nothing,
    /// This version of a model is confirmed.
    Version(Arc<str>, u64),
}

impl ConfirmedVersion {
    /// Records an agent's report. Returns whether its version may be used; if
    /// not, nobody has confirmed the load that the agent found at its start.
    pub(super) fn record(&mut self, report: &EngineReport) -> bool {
        if !report.up {
            return true;
        }
        let Some((model, version)) = report.model.as_ref().zip(report.version)
        else {
            *self = ConfirmedVersion::Nothing;
            return true;
        };
        match report.provenance {
            Provenance::Unverified => *self = ConfirmedVersion::Nothing,
            Provenance::Inherited if *self != ConfirmedVersion::Unknown => {
                return self.allows(model, version);
            }
            Provenance::Inherited | Provenance::Verified => {
                let model = Arc::clone(model);
                *self = ConfirmedVersion::Version(model, version);
            }
        }
        true
    }

    /// Returns whether a version that the replica has loaded may be used.
    pub(super) fn allows(&self, model: &str, version: u64) -> bool {
        match self {
            ConfirmedVersion::Unknown => true,
            ConfirmedVersion::Nothing => false,
            ConfirmedVersion::Version(known, confirmed) => {
                **known == *model && *confirmed == version
            }
        }
    }
}

#[cfg(test)]
#[path = "confirmed_tests.rs"]
mod tests;
