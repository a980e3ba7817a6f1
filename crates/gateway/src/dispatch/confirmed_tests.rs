//! Tests for the confirmed version of a replica.

use std::sync::Arc;

use super::ConfirmedVersion;
use crate::report::{EngineReport, Provenance};

fn report(version: Option<u64>, provenance: Provenance) -> EngineReport {
    EngineReport {
        up: true,
        model: version.map(|_| Arc::from("m")),
        version,
        provenance,
        ..EngineReport::default()
    }
}

/// Guards against requests to a load that was taken after its agent ended.
#[test]
fn what_an_agent_finds_counts_only_if_it_was_confirmed_before() {
    let mut confirmed = ConfirmedVersion::default();
    assert!(confirmed.record(&report(Some(1), Provenance::Verified)));
    assert!(!confirmed.allows("m", 2), "the list alone");
    assert!(!confirmed.record(&report(Some(2), Provenance::Inherited)));
    assert!(!confirmed.allows("m", 2));
    assert!(confirmed.allows("m", 1));
    assert!(confirmed.record(&report(Some(1), Provenance::Inherited)));
    assert!(confirmed.record(&report(Some(2), Provenance::Verified)));
    assert!(confirmed.allows("m", 2));
}

/// Guards against refusals by an entry that has just started.
#[test]
fn an_entry_that_knows_nothing_goes_by_the_list() {
    let mut confirmed = ConfirmedVersion::default();
    assert!(confirmed.allows("m", 2));
    assert!(confirmed.record(&EngineReport::default()));
    assert!(confirmed.allows("m", 2));
    assert!(confirmed.record(&report(Some(2), Provenance::Inherited)));
    assert!(confirmed.allows("m", 2));
}

/// Guards against a version that was confirmed for an earlier load.
#[test]
fn an_unloaded_or_unverified_version_is_no_longer_confirmed() {
    let mut confirmed = ConfirmedVersion::default();
    confirmed.record(&report(Some(2), Provenance::Verified));
    confirmed.record(&report(None, Provenance::Verified));
    assert!(!confirmed.allows("m", 2));
    confirmed.record(&report(Some(2), Provenance::Verified));
    confirmed.record(&report(Some(2), Provenance::Unverified));
    assert!(!confirmed.allows("m", 2));
}
