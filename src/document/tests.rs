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
fn only_newer_documents_are_taken() {
    let mut held = LatestDocument::new();
    assert_eq!(held.offer(doc(5, "a")).unwrap(), OfferOutcome::Accepted);
    assert_eq!(held.offer(doc(5, "a")).unwrap(), OfferOutcome::Unchanged);
    let older = held.offer(doc(4, "b")).unwrap_err();
    assert_eq!(older.code(), Code::OlderRevision);
    let other = held.offer(doc(5, "b")).unwrap_err();
    assert_eq!(other.code(), Code::OtherDigest);
    assert_eq!(held.offer(doc(6, "b")).unwrap(), OfferOutcome::Accepted);
}

proptest! {
    #[test]
    fn a_delta_leads_to_the_new_document(
        old in prop::collection::vec(0u8..3, 0..40),
        new in prop::collection::vec(0u8..3, 0..40),
        other in prop::collection::vec(0u8..3, 0..40),
    ) {
        let old = Document::new(1, old);
        let new = Document::new(2, new);
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old).unwrap(), new.clone());
        // From any other document it leads there too or is refused.
        let other = Document::new(1, other);
        if let Ok(found) = delta.apply(&other) {
            prop_assert_eq!(found, new);
        }
    }
}

#[test]
fn one_changed_place_makes_a_small_delta() {
    let mut held = LatestDocument::new();
    let text = |n: u32| format!("{}replicas: {n}{}", "a".repeat(50_000), "b");
    held.offer(doc(1, &text(4))).unwrap();
    let before = held.seen();
    held.offer(doc(2, &text(5))).unwrap();
    let delta = held.delta(before).unwrap();
    assert!(delta.parts().2.len() <= 2);
    assert!(held.delta(held.seen()).is_none());
}

#[test]
fn a_process_that_forgot_takes_nothing_below_its_floor() {
    let mut held = LatestDocument::with_min_revision(5);
    let older = held.offer(doc(4, "a")).unwrap_err();
    assert_eq!(older.code(), Code::OlderRevision);
    assert_eq!(held.offer(doc(5, "a")).unwrap(), OfferOutcome::Accepted);
}

proptest! {
    #[test]
    fn acceptance_never_goes_back(
        offers in prop::collection::vec((0u64..20, 0u8..3), 0..60)
    ) {
        let mut held = LatestDocument::new();
        let mut before = held.seen();
        for (revision, text) in offers {
            let _ = held.offer(doc(revision, &text.to_string()));
            let now = held.seen();
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
fn an_instance_serves_one_model_and_priority_goes_first() {
    let listing = listing(&[Presence::Live; 8]);
    for (first, second, got) in
        [(4, 4, (4, 4)), (6, 4, (6, 2)), (9, 1, (8, 0))]
    {
        let fleet = fleet(first, second);
        let assigned = assign_agents(&fleet, &listing, "h");
        let counts = (assigned[0].1.len(), assigned[1].1.len());
        assert_eq!(counts, got);
        for name in &assigned[0].1 {
            assert!(!assigned[1].1.contains(name));
        }
    }
}

#[test]
fn a_lost_instance_moves_one_replica() {
    let fleet = fleet(4, 0);
    let all = listing(&[Presence::Live; 8]);
    let before = agents_by_hall(&fleet, &all, "a")[0].1.clone();
    let lost: usize = before[0][1..].parse().unwrap();
    let mut presences = [Presence::Live; 8];
    presences[lost] = Presence::Leaving;
    let less = listing(&presences);
    let after = agents_by_hall(&fleet, &less, "a")[0].1.clone();
    assert_eq!(after.len(), 4);
    let kept: Vec<&Arc<str>> =
        before.iter().filter(|n| after.contains(n)).collect();
    assert_eq!(kept.len(), 3);
    assert!(assigned_model(&fleet, &less, "h", &before[0]).is_none());
}

/// Returns a document of records, one of them changed.
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
fn a_patch_is_small_though_two_places_changed() {
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
    fn a_patch_leads_to_the_new_text_or_is_refused(
        old in "[ab}]{0,40}",
        new in "[ab}]{0,40}",
        other in "[ab}]{0,40}",
    ) {
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old).unwrap(), new.clone());
        if let Ok(found) = patch.apply(&other) {
            prop_assert_eq!(found, new);
        }
    }
}
