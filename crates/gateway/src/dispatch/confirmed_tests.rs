//! Tests for the confirmed load of a replica.

use std::sync::Arc;
use std::time::Instant;

use super::{ConfirmedLoad, FIRST_REPORT_PERIOD, UNKNOWN_PERIOD, Verdict};
use crate::report::{EngineReport, Provenance};

fn report(
    version: Option<u64>,
    sequence: u64,
    provenance: Provenance,
) -> EngineReport {
    EngineReport {
        up: true,
        model: version.map(|_| Arc::from("m")),
        version,
        sequence,
        provenance,
        ..EngineReport::default()
    }
}

/// Guards against requests to a load that was taken after its agent ended.
#[test]
fn what_an_agent_finds_counts_only_if_it_was_confirmed_before() {
    let (mut known, now) = (ConfirmedLoad::default(), Instant::now());
    let mut record = |version, sequence, provenance| {
        let report = report(Some(version), sequence, provenance);
        let verdict = known.record(&report, now);
        (
            verdict,
            known.allows("m", 1, true, now),
            known.allows("m", 2, true, now),
        )
    };
    let verified = record(1, 3, Provenance::Verified);
    assert_eq!(verified, (None, true, false));
    let found = record(2, 4, Provenance::Inherited);
    assert_eq!(found, (Some(Verdict::Rejected), true, false));
    let found = record(1, 3, Provenance::Inherited);
    assert_eq!(found, (Some(Verdict::Confirmed), true, false));
    // The same version may have been loaded again.
    let again = record(1, 5, Provenance::Inherited);
    assert_eq!(again.0, Some(Verdict::Rejected));
    let verified = record(2, 6, Provenance::Verified);
    assert_eq!(verified, (None, false, true));
}

/// Guards against refusals by an entry that has just started, and against
/// trust in a load that other entries or the agent are about to reject.
#[test]
fn an_entry_that_knows_nothing_waits_for_those_who_do() {
    let (mut known, now) = (ConfirmedLoad::default(), Instant::now());
    assert!(known.allows("m", 2, true, now), "the list alone");
    known.record(&EngineReport::default(), now);
    assert!(known.allows("m", 2, true, now));
    let found = report(Some(2), 4, Provenance::Inherited);
    assert_eq!(known.record(&found, now), None);
    assert!(!known.allows("m", 2, true, now));
    let later = now + UNKNOWN_PERIOD;
    assert_eq!(known.record(&found, later), None);
    assert!(known.allows("m", 2, true, later));
}

/// Guards against a version that was confirmed for an earlier load.
#[test]
fn an_unloaded_or_unverified_version_is_no_longer_confirmed() {
    let (mut known, now) = (ConfirmedLoad::default(), Instant::now());
    known.record(&report(Some(2), 4, Provenance::Verified), now);
    known.record(&report(None, 5, Provenance::Verified), now);
    assert!(!known.allows("m", 2, true, now));
    known.record(&report(Some(2), 6, Provenance::Verified), now);
    known.record(&report(Some(2), 8, Provenance::Unverified), now);
    assert!(!known.allows("m", 2, true, now));
}

/// Guards against a load that was taken after its agent ended, at an entry
/// that has started since; and against replicas that have no agent.
#[test]
fn the_list_counts_once_an_agent_has_had_time_to_report() {
    let (mut known, now) = (ConfirmedLoad::default(), Instant::now());
    known.expect(now);
    assert!(known.allows("m", 2, false, now), "no agents at all");
    assert!(!known.allows("m", 2, true, now));
    let later = now + FIRST_REPORT_PERIOD;
    known.expect(later);
    assert!(known.allows("m", 2, true, later));
}
