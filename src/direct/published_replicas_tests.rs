//! Tests of the list of replicas that processes forward to one another, while
//! each reads the platform at times of its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;

use super::sharing_tests::replica;
use super::{PublishedReplicas, Replica, ReplicaChanges};

/// Guards against a replica that is used on because it came and went between
/// two lists of a reader.
#[test]
fn a_revision_between_two_lists_gets_the_whole_list() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(1, 8)], 10);
    published.replace(vec![replica(1, 8)], 20);
    let between = published.changes_since(Some(15)).unwrap();
    assert!(between.whole && published.changed_after(15));
    for known in [10, 20] {
        let changes = published.changes_since(Some(known)).unwrap();
        assert!(!changes.whole && changes.listed.is_empty());
        assert!(!published.changed_after(known));
    }
}

#[test]
fn many_lists_require_the_whole_list_before_the_first_of_them() {
    let mut published = PublishedReplicas::default();
    for revision in (0..1_000).step_by(10) {
        published.replace(vec![replica(1, 8)], revision);
    }
    assert!(published.changes_since(Some(0)).unwrap().whole);
    assert!(published.changes_since(Some(985)).unwrap().whole);
    assert!(!published.changes_since(Some(990)).unwrap().whole);
}

/// Guards against a replica that stays away because its entry was another one
/// for a moment, of which its reader knows only the end.
#[test]
fn a_change_that_another_process_tells_of_is_handed_on() {
    let mut published = PublishedReplicas::default();
    published.replace(vec![replica(1, 8)], 10);
    published.update(replica(1, 8), 20);
    published.advance_to(20);
    let changes = published.changes_since(Some(15)).unwrap();
    assert_eq!(changes.listed, [replica(1, 8)]);
}

type List = BTreeMap<Arc<str>, Replica>;

/// The platform's list after each revision.
struct Platform(Vec<List>);

impl Platform {
    fn revision(&self) -> u64 {
        self.0.len() as u64 - 1
    }

    fn at(&self, revision: u64) -> &List {
        &self.0[revision as usize]
    }

    fn set(&mut self, number: u32, slots: u32) {
        let mut list = self.0.last().unwrap().clone();
        let replica = replica(number, slots);
        if slots == 0 {
            list.remove(&replica.incarnation);
        } else {
            list.insert(Arc::clone(&replica.incarnation), replica);
        }
        self.0.push(list);
    }

    fn list(&self, reader: &mut PublishedReplicas) {
        let listed = self.at(self.revision()).values().cloned().collect();
        reader.replace(listed, self.revision());
    }

    fn watch(&self, reader: &mut PublishedReplicas) {
        let Some(known) = reader.revision() else { return self.list(reader) };
        for revision in known + 1..=self.revision() {
            let (before, now) = (self.at(revision - 1), self.at(revision));
            for replica in now.values() {
                if before.get(&replica.incarnation) != Some(replica) {
                    reader.set(replica.clone(), self.revision());
                }
            }
            for gone in before.keys().filter(|id| !now.contains_key(*id)) {
                reader.remove(Arc::clone(gone), self.revision());
            }
        }
        reader.advance_to(self.revision());
    }
}

/// Takes what another process answers, as one that answers others, too.
fn take(reader: &mut PublishedReplicas, changes: ReplicaChanges) {
    let revision = changes.revision;
    if changes.whole {
        reader.replace(changes.listed, revision);
        return;
    }
    for replica in changes.listed {
        reader.update(replica, revision);
    }
    for gone in changes.gone {
        reader.remove(gone, revision);
    }
    for gap in changes.gaps {
        reader.note_gap(gap);
    }
    reader.advance_to(revision);
}

#[derive(Clone, Debug)]
enum Step {
    Set(u32, u32),
    List(usize),
    Watch(usize),
    /// The first process asks the second one.
    Ask(usize, usize),
}

const PROCESSES: usize = 3;

fn any_step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        4 => (0..4_u32, 0..3_u32).prop_map(|(n, slots)| Step::Set(n, slots)),
        1 => process.clone().prop_map(Step::List),
        2 => process.clone().prop_map(Step::Watch),
        3 => (process.clone(), process).prop_map(|(a, b)| Step::Ask(a, b)),
    ]
}

proptest! {
    /// Each process knows the platform's list of its revision, whomever it
    /// has asked.
    #[test]
    fn lists_from_several_processes_are_the_platforms(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut platform = Platform(vec![List::new()]);
        let mut all = vec![PublishedReplicas::default(); PROCESSES];
        for step in steps {
            match step {
                Step::Set(number, slots) => platform.set(number, slots),
                Step::List(process) => platform.list(&mut all[process]),
                Step::Watch(process) => platform.watch(&mut all[process]),
                Step::Ask(process, asked) => {
                    let after = all[process].revision();
                    let Some(changes) = all[asked].changes_since(after) else {
                        continue;
                    };
                    // An answer that is behind is not taken.
                    if after <= Some(changes.revision) {
                        take(&mut all[process], changes);
                    }
                }
            }
            for published in &all {
                let Some(known) = published.changes_since(None) else {
                    continue;
                };
                let listed = known.listed.into_iter();
                let list: List =
                    listed.map(|r| (Arc::clone(&r.incarnation), r)).collect();
                prop_assert_eq!(&list, platform.at(known.revision));
            }
        }
    }
}
