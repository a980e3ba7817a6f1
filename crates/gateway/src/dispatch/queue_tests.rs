//! Tests for the order in which queued requests get places.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::AllowedRegions;
use stairhinge::overload::{Admission, OverloadSettings};
use stairhinge::placing::{ChooserKind, Need};
use stairhinge::poison::Suspicion;

use super::{PendingPlace, Queue};

fn need(priority: u8, route_priority: u8) -> Need {
    Need {
        service: Arc::from("pool"),
        model: None,
        version: None,
        tried: Vec::new(),
        silent: Vec::new(),
        priority,
        route_priority,
        prompt_tokens: 0,
        objective: Duration::from_millis(400),
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
        shared_run: None,
        workspace: None,
        left_ms: 0,
        answer_tokens: None,
        fingerprint: None,
        continued: false,
        repeatable: true,
    }
}

fn join(queue: &mut Queue, priority: u8, route: u8) -> PendingPlace {
    queue.join(need(priority, route), ChooserKind::Placer, None)
}

/// Grants places one at a time while each class always has queued requests,
/// and returns the number of places that each class got.
fn grant_places(
    queue: &mut Queue,
    classes: &[(u8, u8)],
    places: u32,
) -> Vec<u32> {
    let mut got: HashMap<(u8, u8), u32> = HashMap::new();
    let mut waiting = Vec::new();
    for _ in 0..places {
        for (priority, route) in classes {
            waiting.push(join(queue, *priority, *route));
        }
        let mut all = queue.take_waiters().into_iter();
        let first = all.next().unwrap();
        *got.entry(first.need.urgency()).or_default() += 1;
        queue.record_grant();
        all.for_each(|waiter| queue.put_back(waiter));
    }
    classes.iter().map(|class| got.get(class).copied().unwrap_or(0)).collect()
}

#[test]
fn orders_by_workspace_priority_then_route_priority() {
    let mut queue = Queue::default();
    let order = [(1, 2), (0, 3), (1, 0), (1, 2)];
    let _waiting: Vec<PendingPlace> =
        order.iter().map(|(p, r)| join(&mut queue, *p, *r)).collect();
    let taken = queue.take_waiters();
    let order: Vec<(u8, u8)> =
        taken.iter().map(|w| w.need.urgency()).collect();
    assert_eq!(order, [(0, 3), (1, 0), (1, 2), (1, 2)]);
    assert!(
        !queue.has_waiter_ahead_of(&need(9, 9)),
        "take_waiters left requests in the queue"
    );
    taken.into_iter().for_each(|waiter| queue.put_back(waiter));
    assert!(queue.has_waiter_ahead_of(&need(1, 2)));
    assert!(
        !queue.has_waiter_ahead_of(&need(0, 2)),
        "a less urgent waiter goes first"
    );
}

#[test]
fn less_urgent_classes_get_a_share_under_sustained_overload() {
    let mut queue = Queue::default();
    let classes = [(1, 0), (1, 1), (1, 2)];
    let got = grant_places(&mut queue, &classes, 80);
    assert_eq!(got, [70, 5, 5]);
    let got = grant_places(&mut Queue::default(), &classes[1..], 80);
    assert_eq!(got, [70, 10]);
}

#[test]
fn cancelled_waiters_get_no_place() {
    let mut queue = Queue::default();
    drop(join(&mut queue, 0, 0));
    let _waits = join(&mut queue, 1, 0);
    assert!(queue.has_waiter_ahead_of(&need(1, 0)));
    let taken = queue.take_waiters();
    assert_eq!(taken.len(), 1);
    assert_eq!(taken[0].need.urgency(), (1, 0));
}

/// Guards against an order by arrival or urgency under admission control, and
/// against late requests that wait in vain.
#[test]
fn with_admission_control_late_requests_are_removed() {
    let mut admission = Admission::new(OverloadSettings::default());
    let mut queue = Queue::default();
    let now = Time::from_millis(60_000);
    let mut arrive = |queue: &mut Queue, route, left_ms, at| {
        let mut need = need(1, route);
        need.left_ms = left_ms;
        let standing = admission.record_arrival(&need, None, at);
        queue.join(need, ChooserKind::Placer, Some(standing))
    };
    let _first = arrive(&mut queue, 1, 6_000, now);
    let mut late = arrive(&mut queue, 1, 4_000, now);
    let _urgent = arrive(&mut queue, 0, 6_000, now);
    let taken = queue.take_ranked(&admission, now);
    let order: Vec<u32> = taken.iter().map(|w| w.need.left_ms).collect();
    assert_eq!(order, [6_000, 6_000, 4_000]);
    assert_eq!(taken[0].need.urgency(), (1, 0));
    taken.into_iter().for_each(|waiter| queue.put_back(waiter));
    assert_eq!(queue.remove_late(now), [Arc::from("pool")]);
    assert_eq!(queue.len(), 2);
    assert!(late.receiver.try_recv().is_err());
    // Once all can only be late, each may still get a free place.
    queue.remove_late(now.after(Duration::from_secs(1)));
    assert_eq!(queue.len(), 2);
}
