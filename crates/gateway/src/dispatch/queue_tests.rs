//! Tests of who gets the next place.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::direct::AllowedRegions;
use stairhinge::placing::{ChooserKind, Need};
use stairhinge::poison::Suspicion;

use super::{Queue, Waiting};

fn need(priority: u8, route_priority: u8) -> Need {
    Need {
        service: Arc::from("pool"),
        model: None,
        version: None,
        tried: Vec::new(),
        priority,
        route_priority,
        prompt_tokens: 0,
        objective: Duration::from_millis(400),
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
    }
}

fn join(queue: &mut Queue, priority: u8, route: u8) -> Waiting {
    queue.join(need(priority, route), ChooserKind::Placer)
}

/// Gives places one at a time while each kind always has some that wait, and
/// returns how many each kind got.
fn give(queue: &mut Queue, kinds: &[(u8, u8)], places: u32) -> Vec<u32> {
    let mut got: HashMap<(u8, u8), u32> = HashMap::new();
    let mut waiting = Vec::new();
    for _ in 0..places {
        for (priority, route) in kinds {
            waiting.push(join(queue, *priority, *route));
        }
        let mut all = queue.take().into_iter();
        let first = all.next().unwrap();
        *got.entry(first.need.urgency()).or_default() += 1;
        queue.note_given();
        all.for_each(|waiter| queue.keep(waiter));
    }
    kinds.iter().map(|kind| got.get(kind).copied().unwrap_or(0)).collect()
}

#[test]
fn a_workspaces_priority_goes_first_and_then_the_routes() {
    let mut queue = Queue::default();
    let order = [(1, 2), (0, 3), (1, 0), (1, 2)];
    let _waiting: Vec<Waiting> =
        order.iter().map(|(p, r)| join(&mut queue, *p, *r)).collect();
    let taken = queue.take();
    let order: Vec<(u8, u8)> =
        taken.iter().map(|w| w.need.urgency()).collect();
    assert_eq!(order, [(0, 3), (1, 0), (1, 2), (1, 2)]);
    assert!(!queue.goes_before(&need(9, 9)), "all are taken out");
    taken.into_iter().for_each(|waiter| queue.keep(waiter));
    assert!(queue.goes_before(&need(1, 2)));
    assert!(!queue.goes_before(&need(0, 2)), "it is the most urgent");
}

#[test]
fn under_lasting_overload_each_less_urgent_kind_gets_a_share() {
    let mut queue = Queue::default();
    let kinds = [(1, 0), (1, 1), (1, 2)];
    let got = give(&mut queue, &kinds, 80);
    assert_eq!(got, [70, 5, 5]);
    let got = give(&mut Queue::default(), &kinds[1..], 80);
    assert_eq!(got, [70, 10]);
}

#[test]
fn who_has_gone_gets_no_place() {
    let mut queue = Queue::default();
    drop(join(&mut queue, 0, 0));
    let _waits = join(&mut queue, 1, 0);
    assert!(queue.goes_before(&need(1, 0)));
    let taken = queue.take();
    assert_eq!(taken.len(), 1);
    assert_eq!(taken[0].need.urgency(), (1, 0));
}
