//! Tests of which replicas of the list are in use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{Replica, ReplicaList, ReplicaState, Standing};

const KNOWN: [&str; 2] = ["plain", "pool"];

fn replica(name: &str, service: &str, port: u16, listed_at: u64) -> Replica {
    Replica {
        incarnation: Arc::from(name),
        service: Arc::from(service),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: Arc::from("north"),
        slots: 8,
        state: ReplicaState::Ready,
        listed_at,
        born: None,
        cold_ms: 0,
        versions: Vec::new(),
    }
}

fn list(replicas: &[Replica]) -> ReplicaList {
    let mut list = ReplicaList::default();
    for replica in replicas {
        list.set(Arc::new(replica.clone()));
    }
    list
}

/// Returns the names of the replicas in use, in order.
fn used(list: &ReplicaList, known: &[&str]) -> Vec<String> {
    let in_use = list.in_use(|service| known.contains(&service));
    let mut names: Vec<String> =
        in_use.keys().map(|name| name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn the_latest_entry_of_a_known_service_is_used_at_an_address() {
    let all = [
        replica("i-1", "plain", 7_000, 3),
        replica("i-2", "pool", 7_000, 5),
        replica("i-3", "nobody", 7_000, 9),
        replica("i-4", "plain", 7_001, 4),
    ];
    let list = list(&all);
    // The entry of the unknown service is used by no route.
    assert_eq!(used(&list, &KNOWN), ["i-2", "i-3", "i-4"]);
    assert_eq!(used(&list, &["plain"]), ["i-1", "i-2", "i-3", "i-4"]);
    assert_eq!(used(&list, &[]), ["i-1", "i-2", "i-3", "i-4"]);
}

/// Guards against a replica that stays away once its address was taken over.
#[test]
fn a_replica_returns_once_nothing_replaces_it() {
    let old = replica("i-1", "plain", 7_000, 3);
    let new = replica("i-2", "plain", 7_000, 5);
    let mut list = list(&[old, new]);
    assert_eq!(used(&list, &KNOWN), ["i-2"]);
    list.remove("i-2");
    assert_eq!(used(&list, &KNOWN), ["i-1"]);
}

#[test]
fn a_doubtful_entry_takes_nothing_over_from_a_listed_one() {
    let old = replica("i-1", "plain", 7_000, 3);
    let new = replica("i-2", "plain", 7_000, 5);
    let mut list = list(&[old, new]);
    let at = Duration::from_secs(7);
    assert!(list.doubt("i-2", at));
    assert!(!list.doubt("i-2", at), "it is doubtful already");
    assert_eq!(used(&list, &KNOWN), ["i-1", "i-2"]);
    assert!(list.doubt("i-1", at));
    assert_eq!(used(&list, &KNOWN), ["i-2"]);
    assert!(!list.doubt("i-1", at * 2), "it has been for longer");
    assert_eq!(list.doubtful(at).len(), 2);
    assert!(list.doubtful(Duration::from_secs(6)).is_empty());
    assert_eq!(list.get("i-1").unwrap().1, Standing::Doubtful(at));
}

#[test]
fn an_entry_of_an_earlier_process_changes_nothing() {
    let mut new = replica("i-1", "plain", 7_000, 3);
    new.born = Some(20);
    let mut old = new.clone();
    old.born = Some(10);
    let mut list = list(std::slice::from_ref(&new));
    assert!(!list.set(Arc::new(old)));
    assert!(!list.set(Arc::new(new)));
}

#[derive(Clone, Debug)]
enum Step {
    Set(Replica),
    Remove(String),
}

fn any_replica() -> impl Strategy<Value = Replica> {
    let service = prop::sample::select(&["plain", "pool", "nobody"][..]);
    (0..6_u8, service, 7_000..7_003_u16, 1..9_u64).prop_map(
        |(name, service, port, listed_at)| {
            replica(&format!("i-{name}"), service, port, listed_at)
        },
    )
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any_replica().prop_map(Step::Set),
        1 => (0..6_u8).prop_map(|name| Step::Remove(format!("i-{name}"))),
    ]
}

proptest! {
    /// Guards against a use that depends on the order in which entries came
    /// and went.
    #[test]
    fn use_depends_only_on_what_is_listed(
        steps in prop::collection::vec(any_step(), 0..30),
    ) {
        let mut all = ReplicaList::default();
        for step in steps {
            match step {
                Step::Set(replica) => drop(all.set(Arc::new(replica))),
                Step::Remove(name) => drop(all.remove(&name)),
            }
        }
        let mut names: Vec<_> = all.incarnations().cloned().collect();
        names.sort();
        let listed = |name: &Arc<str>| {
            Replica::clone(&all.get(name).unwrap().0)
        };
        let afresh: Vec<Replica> = names.iter().map(listed).collect();
        prop_assert_eq!(used(&all, &KNOWN), used(&list(&afresh), &KNOWN));
    }

    /// Guards against addresses without a replica because entries replace one
    /// another.
    #[test]
    fn each_listed_address_keeps_a_replica(
        replicas in prop::collection::vec(any_replica(), 1..12),
    ) {
        let list = list(&replicas);
        let in_use = list.in_use(|service| KNOWN.contains(&service));
        for name in list.incarnations() {
            let addr = list.get(name).unwrap().0.addr;
            prop_assert!(in_use.values().any(|(r, _)| r.addr == addr));
        }
    }
}
