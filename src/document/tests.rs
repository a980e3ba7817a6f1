use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;

use super::{
    Delta, Document, Instance, LatestDocument, Listing, OfferOutcome, Patch,
    Presence, Role, agents_by_hall, assign_agents, assigned_model,
};
use crate::Code;
use crate::declaration::Fleet;

fn doc(revision: u64, text: &str) -> Document {
    Document::new(revision, text.as_bytes())
}

#[test]
fn only_newer_documents_are_accepted() {
    let mut latest = LatestDocument::new();
    assert_eq!(latest.offer(doc(5, "a")).unwrap(), OfferOutcome::Accepted);
    assert_eq!(latest.offer(doc(5, "a")).unwrap(), OfferOutcome::Unchanged);
    let older = latest.offer(doc(4, "b")).unwrap_err();
    assert_eq!(older.code(), Code::OlderRevision);
    let other = latest.offer(doc(5, "b")).unwrap_err();
    assert_eq!(other.code(), Code::OtherDigest);
    assert_eq!(latest.offer(doc(6, "b")).unwrap(), OfferOutcome::Accepted);
}

proptest! {
    #[test]
    fn delta_yields_the_new_document_or_is_refused(
        old in prop::collection::vec(0u8..3, 0..40),
        new in prop::collection::vec(0u8..3, 0..40),
        other in prop::collection::vec(0u8..3, 0..40),
    ) {
        let old = Document::new(1, old);
        let new = Document::new(2, new);
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old).unwrap(), new.clone());
        // Applied to any other document, the delta yields the new document
        // too or is refused.
        let other = Document::new(1, other);
        if let Ok(result) = delta.apply(&other) {
            prop_assert_eq!(result, new);
        }
    }
}

#[test]
fn delta_of_one_changed_place_is_small() {
    let mut latest = LatestDocument::new();
    let text = |n: u32| format!("{}replicas: {n}{}", "a".repeat(50_000), "b");
    latest.offer(doc(1, &text(4))).unwrap();
    let before = latest.seen();
    latest.offer(doc(2, &text(5))).unwrap();
    let delta = latest.delta(before).unwrap();
    assert!(delta.parts().2.len() <= 2);
    assert!(latest.delta(latest.seen()).is_none());
}

#[test]
fn documents_below_the_minimum_revision_are_refused() {
    let mut latest = LatestDocument::with_min_revision(5);
    let older = latest.offer(doc(4, "a")).unwrap_err();
    assert_eq!(older.code(), Code::OlderRevision);
    assert_eq!(latest.offer(doc(5, "a")).unwrap(), OfferOutcome::Accepted);
}

proptest! {
    #[test]
    fn accepted_revision_never_decreases(
        offers in prop::collection::vec((0u64..20, 0u8..3), 0..60)
    ) {
        let mut latest = LatestDocument::new();
        let mut before = latest.seen();
        for (revision, text) in offers {
            let _ = latest.offer(doc(revision, &text.to_string()));
            let now = latest.seen();
            prop_assert!(now.revision() >= before.revision());
            if now.revision() == before.revision() {
                prop_assert_eq!(now.digest(), before.digest());
            }
            before = now;
        }
    }
}

fn fleet(first: u32, second: u32) -> Fleet {
    let digest = "0".repeat(64);
    let mut text = format!(
        "revision: 1
name: x
sites: [{{name: h}}]
models:
  - {{name: a, priority: 1, serve: v, versions: [{{name: v, manifest: \
         '{digest}'}}], placements: [{{site: h, replicas: {first}}}]}}
  - {{name: b, priority: 2, serve: v, versions: [{{name: v, manifest: \
         '{digest}'}}], placements: [{{site: h, replicas: {second}}}]}}
backends:
"
    );
    for i in 0..8 {
        text.push_str(&format!("  - {{name: i{i}, site: h}}\n"));
    }
    Fleet::parse(&text).unwrap()
}

fn listing(presences: &[Presence]) -> Listing {
    let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut instances = Vec::new();
    for (i, presence) in presences.iter().enumerate() {
        instances.push(Instance {
            name: format!("i{i}").into(),
            hall: "h".into(),
            role: Role::Agent,
            http: addr,
            control: addr,
            presence: *presence,
        });
    }
    Listing { revision: 1, instances }
}

#[test]
fn instance_serves_one_model_and_models_choose_by_priority() {
    let listing = listing(&[Presence::Live; 8]);
    for (first, second, expected) in
        [(4, 4, (4, 4)), (6, 4, (6, 2)), (9, 1, (8, 0))]
    {
        let fleet = fleet(first, second);
        let assigned = assign_agents(&fleet, &listing, "h");
        let counts = (assigned[0].1.len(), assigned[1].1.len());
        assert_eq!(counts, expected);
        for name in &assigned[0].1 {
            assert!(!assigned[1].1.contains(name));
        }
    }
}

#[test]
fn loss_of_an_instance_moves_one_replica() {
    let fleet = fleet(4, 0);
    let all = listing(&[Presence::Live; 8]);
    let before = agents_by_hall(&fleet, &all, "a")[0].1.clone();
    let lost: usize = before[0][1..].parse().unwrap();
    let mut presences = [Presence::Live; 8];
    presences[lost] = Presence::Leaving;
    let remaining = listing(&presences);
    let after = agents_by_hall(&fleet, &remaining, "a")[0].1.clone();
    assert_eq!(after.len(), 4);
    let kept: Vec<&Arc<str>> =
        before.iter().filter(|n| after.contains(n)).collect();
    assert_eq!(kept.len(), 3);
    assert!(assigned_model(&fleet, &remaining, "h", &before[0]).is_none());
}

/// Returns a document of 120 records, of which the one at index `changed`
/// differs between revisions.
fn records(revision: u32, changed: usize) -> String {
    let mut text = format!("{{\"revision\":{revision},\"routes\":[");
    for i in 0..120 {
        let limit = if i == changed { revision } else { 4_000 };
        text.push_str(&format!(
            "{{\"host\":\"a{i}.example\",\"limit\":{limit}}},"
        ));
    }
    text.push_str("]}");
    text
}

#[test]
fn patch_of_two_changed_places_is_small() {
    let (old, new) = (records(7, 30), records(8, 90));
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&old).unwrap(), new);
    assert!(patch.size() < new.len() / 10, "{} bytes", patch.size());
    let other = records(6, 50);
    assert_eq!(patch.apply(&other).unwrap_err().code(), Code::OtherDigest);
    assert_eq!(patch.apply("").unwrap_err().code(), Code::OtherDigest);
}

proptest! {
    #[test]
    fn patch_yields_the_new_text_or_is_refused(
        old in "[ab}]{0,40}",
        new in "[ab}]{0,40}",
        other in "[ab}]{0,40}",
    ) {
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old).unwrap(), new.clone());
        if let Ok(result) = patch.apply(&other) {
            prop_assert_eq!(result, new);
        }
    }
}
