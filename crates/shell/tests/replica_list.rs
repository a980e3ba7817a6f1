//! Replicas in use while others are listed at their addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stairhinge::direct::{
    Absence, Replica, ReplicaState, RouteTable, RouteTableParts, Service,
};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Change, Facts, Published, Record, Source, Standing,
};

/// What a process learns, in some order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lesson {
    Routes,
    Replica,
    /// An entry at the replica's address that was listed later.
    Foreign,
}

const ORDERS: [[Lesson; 3]; 6] = {
    use Lesson::{Foreign, Replica, Routes};
    [
        [Routes, Replica, Foreign],
        [Routes, Foreign, Replica],
        [Replica, Routes, Foreign],
        [Replica, Foreign, Routes],
        [Foreign, Routes, Replica],
        [Foreign, Replica, Routes],
    ]
};

fn facts() -> Facts {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    Facts::new(log, Duration::ZERO)
}

fn replica(name: &str, service: &str, listed_at: u64) -> Replica {
    Replica {
        incarnation: Arc::from(name),
        service: Arc::from(service),
        addr: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        hall: Arc::from("north"),
        slots: 8,
        state: ReplicaState::Ready,
        listed_at,
        born: None,
        cold_ms: 0,
        versions: Vec::new(),
    }
}

fn learn(facts: &Facts, record: Record) {
    facts.learn(record, Source::new("test"), Published::default());
}

fn list(facts: &Facts, replica: Replica) {
    learn(facts, Record::Replica(replica));
}

/// Publishes routes with these services.
fn configure(facts: &Facts, revision: u64, services: &[&str]) {
    let service = |name: &&str| Service {
        name: Arc::from(*name),
        connections: 100,
        cold_per_s: 0.0,
        engine: None,
        models: Vec::new(),
    };
    let parts = RouteTableParts {
        revision,
        services: services.iter().map(service).collect(),
        ..RouteTableParts::default()
    };
    let table = Arc::new(RouteTable::new(parts).unwrap());
    learn(facts, Record::Routes(table, Bytes::new()));
}

/// A doubt that began at once.
const DOUBT: Absence = Absence::Doubtful(Duration::ZERO);

fn unlist(facts: &Facts, name: &str, absence: Absence) {
    let gone = Change::Gone(Arc::from(name));
    facts.apply(gone, Source::new("test"), absence, Published::default());
}

fn uses(facts: &Facts, name: &str) -> bool {
    facts.view().replicas.contains_key(name)
}

/// Guards against a replica that stays away because an entry of an unknown
/// service was read before the routes, as a process that starts may do.
#[test]
fn an_entry_of_an_unknown_service_hides_no_replica_in_any_order() {
    for order in ORDERS {
        let facts = facts();
        for lesson in order {
            match lesson {
                Lesson::Routes => configure(&facts, 1, &["plain"]),
                Lesson::Replica => list(&facts, replica("i-1", "plain", 3)),
                Lesson::Foreign => list(&facts, replica("i-2", "nobody", 5)),
            }
        }
        assert!(uses(&facts, "i-1"), "{order:?}");
    }
}

#[test]
fn a_later_run_at_an_address_replaces_the_one_before_in_any_order() {
    for order in ORDERS {
        let facts = facts();
        for lesson in order {
            match lesson {
                Lesson::Routes => configure(&facts, 1, &["plain"]),
                Lesson::Replica => list(&facts, replica("i-1", "plain", 3)),
                Lesson::Foreign => list(&facts, replica("i-2", "plain", 5)),
            }
        }
        assert!(!uses(&facts, "i-1") && uses(&facts, "i-2"), "{order:?}");
    }
}

/// Guards against the same with routes that were known from the beginning.
#[test]
fn a_replica_returns_when_the_entry_that_replaced_it_goes() {
    for invalid in [false, true] {
        let facts = facts();
        configure(&facts, 1, &["plain"]);
        list(&facts, replica("i-1", "plain", 3));
        list(&facts, replica("i-2", "plain", 5));
        assert!(!uses(&facts, "i-1"));
        if invalid {
            // What an entry that turns unreadable becomes.
            let error = stairhinge::Error::new(
                stairhinge::Code::MalformedJson,
                "it is no entry",
            );
            facts.apply(
                Change::Invalid(error),
                Source::new("test"),
                Absence::Gone,
                Published::default(),
            );
        }
        unlist(&facts, "i-2", Absence::Gone);
        assert!(uses(&facts, "i-1"), "the list still has it");
        unlist(&facts, "i-1", Absence::Gone);
        assert!(!uses(&facts, "i-1"));
    }
}

/// Guards against replicas that a passing configuration removes for good.
#[test]
fn a_service_that_is_dropped_and_named_again_hides_no_replica() {
    let facts = facts();
    configure(&facts, 1, &["plain", "pool"]);
    list(&facts, replica("i-1", "plain", 3));
    list(&facts, replica("i-2", "pool", 5));
    assert!(!uses(&facts, "i-1"));
    configure(&facts, 2, &["plain"]);
    assert!(uses(&facts, "i-1"), "the later entry names no known service");
    configure(&facts, 3, &["plain", "pool"]);
    assert!(!uses(&facts, "i-1") && uses(&facts, "i-2"));
    configure(&facts, 4, &["pool"]);
    assert!(!uses(&facts, "i-1") && uses(&facts, "i-2"));
}

#[test]
fn two_foreign_entries_at_an_address_hide_no_replica() {
    let facts = facts();
    for (name, listed_at) in [("i-2", 5), ("i-3", 6)] {
        list(&facts, replica(name, "nobody", listed_at));
    }
    list(&facts, replica("i-1", "plain", 3));
    configure(&facts, 1, &["plain"]);
    assert!(uses(&facts, "i-1"));
    unlist(&facts, "i-3", Absence::Gone);
    unlist(&facts, "i-2", DOUBT);
    assert!(uses(&facts, "i-1"));
}

/// Guards against a complete list whose outcome depends on what was known
/// before, as after a standstill or a cut.
#[test]
fn a_complete_list_is_used_as_it_is() {
    let facts = facts();
    configure(&facts, 1, &["plain"]);
    let all = || vec![replica("i-1", "plain", 3), replica("i-2", "nobody", 5)];
    list(&facts, replica("i-0", "plain", 9));
    facts.replace_replicas(all(), Absence::Gone);
    assert!(uses(&facts, "i-1") && !uses(&facts, "i-0"));
    list(&facts, replica("i-3", "plain", 10));
    assert!(!uses(&facts, "i-1"));
    facts.replace_replicas(all(), Absence::Gone);
    assert!(uses(&facts, "i-1"));
}

/// Guards against an entry in doubt that hides one that is listed.
#[test]
fn a_replica_that_only_a_doubtful_entry_replaced_returns() {
    let facts = facts();
    configure(&facts, 1, &["plain"]);
    list(&facts, replica("i-1", "plain", 3));
    list(&facts, replica("i-2", "plain", 5));
    unlist(&facts, "i-2", DOUBT);
    assert!(uses(&facts, "i-1") && uses(&facts, "i-2"));
    let standing = |name: &str| facts.view().replicas[name].1;
    assert_eq!(standing("i-1"), Standing::Listed);
    assert_eq!(standing("i-2"), Standing::Doubtful(Duration::ZERO));
}

/// Guards against a process that is busy for seconds because all entries of a
/// large fleet lapse and come back: each change of the list takes as long as
/// the list is.
#[test]
fn the_changes_of_one_answer_are_one_change_of_the_list() {
    let facts = facts();
    configure(&facts, 1, &["plain"]);
    let replicas = |slots| {
        let all = (0..3_400_u16).map(move |i| {
            let mut replica = replica(&format!("i-{i}"), "plain", 3);
            replica.addr.set_port(10_000 + i);
            replica.slots = slots;
            replica
        });
        all.map(|r| Change::Set(Record::Replica(r))).collect::<Vec<_>>()
    };
    let apply = |changes| {
        let mut seen = facts.changes();
        let before = *seen.borrow_and_update();
        let source = Source::new("test");
        let published = Published::default();
        facts.apply_all(changes, source, Absence::Gone, published);
        *seen.borrow() - before
    };
    assert_eq!(apply(replicas(8)), 1);
    assert_eq!(facts.view().replicas.len(), 3_400);
    assert_eq!(apply(replicas(8)), 0, "nothing is new");
    let gone = |i| Change::Gone(Arc::from(format!("i-{i}")));
    let mut changes: Vec<Change> = (0..3_400).map(gone).collect();
    changes.extend(replicas(4).into_iter().take(1_700));
    changes.push(gone(0));
    assert_eq!(apply(changes), 1);
    assert_eq!(facts.view().replicas.len(), 1_699);
}
