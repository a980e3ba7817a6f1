use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{
    AdmissionControl, AdmissionDecision, AdmissionLimits, Attempt,
    AttemptTable, ClaimDecision, Failure, GuardHistory, GuardSet, Key,
    KeyTable, RequestRetry, RetryBudget, RetryDecision, revocation_outcome,
};
use crate::declaration::Workspace;
use crate::{Code, Ran, Time};

const WINDOW: Duration = Duration::from_millis(1_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn key(text: &str) -> Key {
    Key::new("w", text).unwrap()
}

#[test]
fn a_revoked_attempt_never_runs() {
    let mut table = AttemptTable::new(7, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    assert_eq!(table.revoke(&a, 7, at(0)), Ran::DidNotRun);
    let late = table.admit(&a, 7, at(1)).unwrap_err();
    assert_eq!(late.code(), Code::Revoked);
}

#[test]
fn an_admitted_attempt_is_never_said_not_to_have_run() {
    let mut table = AttemptTable::new(7, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    table.admit(&a, 7, at(0)).unwrap();
    assert_eq!(table.revoke(&a, 7, at(1)), Ran::MayHaveRun);
    table.end(&a, Ran::Ran, at(2));
    assert_eq!(table.revoke(&a, 7, at(3)), Ran::Ran);
    assert!(table.admit(&a, 7, at(4)).is_err());
}

#[test]
fn another_incarnation_does_not_vouch_for_the_one_before() {
    let mut table = AttemptTable::new(8, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    assert_eq!(table.revoke(&a, 7, at(0)), Ran::MayHaveRun);
    let err = table.admit(&a, 7, at(0)).unwrap_err();
    assert_eq!(err.code(), Code::Behind);
}

#[test]
fn a_full_table_refuses_and_does_not_forget() {
    let mut table = AttemptTable::new(1, WINDOW, 2);
    for i in 0..2 {
        table.admit(&Attempt::new("e", 1, i), 1, at(0)).unwrap();
    }
    let err = table.admit(&Attempt::new("e", 1, 9), 1, at(0)).unwrap_err();
    assert_eq!(err.code(), Code::GuardFull);
    assert_eq!(table.revoke(&Attempt::new("e", 1, 8), 1, at(0)), {
        // It cannot keep a tombstone, so it must not promise one.
        Ran::MayHaveRun
    });
}

/// With a window of 1,000 ms a grant is kept, and a restarted guard deaf, for
/// 1,500 ms.
#[test]
fn a_key_is_granted_once_in_its_window() {
    let mut keys = KeyTable::new(at(0), WINDOW, 100);
    let code = |c| match c {
        ClaimDecision::Granted => None,
        ClaimDecision::Refused(err, _) => Some(err.code()),
    };
    let k = key("k");
    let deaf = code(keys.claim(&k, "a", at(1_499)));
    assert_eq!(deaf, Some(Code::GuardForgetful));
    assert_eq!(code(keys.claim(&k, "a", at(1_500))), None);
    assert_eq!(code(keys.claim(&k, "a", at(1_501))), None, "asked again");
    let other = code(keys.claim(&k, "b", at(2_000)));
    assert_eq!(other, Some(Code::DuplicateRunning));
    keys.settle(&k, "b", Ran::DidNotRun);
    assert!(code(keys.claim(&k, "b", at(2_000))).is_some(), "not its own");
    keys.settle(&k, "a", Ran::Ran);
    keys.settle(&k, "a", Ran::DidNotRun);
    let ran = code(keys.claim(&k, "b", at(2_999)));
    assert_eq!(ran, Some(Code::DuplicateRan));
    assert_eq!(code(keys.claim(&k, "b", at(3_000))), None, "window over");
}

#[test]
fn a_key_that_did_not_run_is_free_again() {
    let mut keys = KeyTable::new(at(0), Duration::ZERO, 100);
    keys.set_window(at(0), WINDOW);
    let k = key("k");
    assert!(matches!(keys.claim(&k, "a", at(1_500)), ClaimDecision::Granted));
    keys.settle(&k, "a", Ran::DidNotRun);
    assert!(matches!(keys.claim(&k, "b", at(2_500)), ClaimDecision::Granted));
    // The first grant's place in the order does not free the second one.
    let again = keys.claim(&k, "c", at(3_100));
    assert!(matches!(again, ClaimDecision::Refused(..)), "{again:?}");
}

#[test]
fn a_full_guard_refuses_and_does_not_forget() {
    let mut keys = KeyTable::new(at(0), WINDOW, 1);
    assert!(matches!(
        keys.claim(&key("a"), "x", at(1_500)),
        ClaimDecision::Granted
    ));
    match keys.claim(&key("b"), "x", at(1_900)) {
        ClaimDecision::Refused(err, wait) => {
            assert_eq!(err.code(), Code::GuardFull);
            assert_eq!(wait, Duration::from_millis(1_100));
        }
        ClaimDecision::Granted => panic!("granted beyond the bound"),
    }
}

fn names(list: &[&str]) -> Vec<Arc<str>> {
    list.iter().map(|n| Arc::from(*n)).collect()
}

#[test]
fn a_new_guard_asks_the_earlier_one_until_it_is_safe() {
    let old = GuardSet::new(1, names(&["a", "b"]));
    let new = GuardSet::new(2, names(&["a", "b", "c"]));
    let moved = (0..100)
        .map(|i| key(&i.to_string()))
        .find(|k| new.guard(k).as_deref() == Some("c"));
    let k = moved.unwrap();
    let before = old.guard(&k).unwrap();
    let mut rings = GuardHistory::new();
    rings.adopt(old, at(0));
    assert!(rings.former_guards(&k, "c", WINDOW, at(0)).is_empty());
    rings.adopt(new, at(100));
    let ask = |r: &GuardHistory, ms| r.former_guards(&k, "c", WINDOW, at(ms));
    let asked = vec![before.clone()];
    assert_eq!(ask(&rings, 100), asked);
    assert_eq!(ask(&rings, 90_000), asked, "not heard under it");
    rings.record_revision(&before, 1, at(90_000));
    assert_eq!(ask(&rings, 99_000), asked, "heard, but behind");
    rings.record_revision(&before, 2, at(100_000));
    assert_eq!(ask(&rings, 100_999), asked);
    assert!(ask(&rings, 101_000).is_empty());
}

#[test]
fn a_guard_taken_out_of_the_declaration_is_waited_for_one_window() {
    let old = GuardSet::new(1, names(&["a", "b"]));
    let k = key("k");
    let gone = old.guard(&k).unwrap();
    let stays = if &*gone == "a" { "b" } else { "a" };
    let mut rings = GuardHistory::new();
    rings.adopt(old, at(0));
    rings.adopt(GuardSet::new(2, names(&[stays])), at(100));
    assert_eq!(rings.former_guards(&k, stays, WINDOW, at(1_099)), [gone]);
    assert!(rings.former_guards(&k, stays, WINDOW, at(1_100)).is_empty());
}

#[test]
fn what_an_entry_does_after_a_failure() {
    use Failure::{AnswerBroke, Failed, Refused, Unanswered, Unsent};
    let not = |code| RetryDecision::Respond(code, Ran::DidNotRun);
    let may = |code| RetryDecision::Respond(code, Ran::MayHaveRun);
    let full = Refused(Code::NotServing);
    let failed = Failed(Code::EngineLost);
    let again = Failure::Duplicate(Code::DuplicateRan);
    let table = [
        // repeatable, failure, more, next
        (true, Unsent, true, RetryDecision::Retry),
        (false, Unsent, true, RetryDecision::Retry),
        (false, Unsent, false, not(Code::NoBackend)),
        (false, full, true, RetryDecision::Retry),
        (false, full, false, not(Code::NotServing)),
        (true, Unanswered, true, RetryDecision::Retry),
        (true, Unanswered, false, may(Code::LostBackend)),
        (false, Unanswered, true, RetryDecision::Revoke),
        (false, Unanswered, false, RetryDecision::Revoke),
        (true, failed, true, RetryDecision::Retry),
        (false, failed, true, may(Code::EngineLost)),
        (
            false,
            again,
            true,
            RetryDecision::Respond(Code::DuplicateRan, Ran::Ran),
        ),
        (true, AnswerBroke, true, may(Code::AnswerBroke)),
        (false, AnswerBroke, true, may(Code::AnswerBroke)),
    ];
    for (repeatable, failure, more, next) in table {
        let got = RequestRetry::new(repeatable).failed(failure, more);
        assert_eq!(got, next, "{repeatable} {failure:?} {more}");
    }
}

#[test]
fn an_old_did_not_run_is_not_believed() {
    let keep = Duration::from_millis(1_000);
    let ms = Duration::from_millis;
    let table = [
        (Some(Ran::DidNotRun), 499, Ran::DidNotRun),
        (Some(Ran::DidNotRun), 500, Ran::MayHaveRun),
        (Some(Ran::Ran), 900, Ran::Ran),
        (Some(Ran::MayHaveRun), 1, Ran::MayHaveRun),
        (None, 1, Ran::MayHaveRun),
    ];
    for (word, since, ran) in table {
        assert_eq!(
            revocation_outcome(word, ms(since), keep),
            ran,
            "{word:?} {since}"
        );
    }
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new(0.1, 2.0);
    assert!(budget.spend() && budget.spend());
    assert!(!budget.spend());
    for _ in 0..9 {
        budget.record_request();
    }
    assert!(!budget.spend());
    budget.record_request();
    budget.record_request();
    assert!(budget.spend());
}

fn space(name: &str, share: u32) -> Workspace {
    Workspace::new(name, share, 5)
}

/// Offers a request and unwraps its ticket, if it waits.
fn admit(door: &mut AdmissionControl, who: &Workspace) -> AdmissionDecision {
    door.admit(who, at(60_000), at(0), 0.0)
}

#[test]
fn shares_hold_under_load_and_nobody_starves() {
    let limits = AdmissionLimits::new(10, 1_000);
    let mut door = AdmissionControl::new(limits, Duration::from_millis(1));
    let (large, small) = (space("large", 9), space("small", 1));
    let mut owner = std::collections::HashMap::new();
    for _ in 0..500 {
        for who in [&large, &small] {
            if let AdmissionDecision::Wait(ticket) = admit(&mut door, who) {
                owner.insert(ticket, Arc::clone(who.name()));
            }
        }
    }
    let mut started = [0, 0];
    for _ in 0..200 {
        for ticket in door.finish(Duration::from_millis(1), at(1)) {
            started[usize::from(&*owner[&ticket] == "small")] += 1;
        }
    }
    assert_eq!(started[0] + started[1], 200);
    assert!((15..=25).contains(&started[1]), "{started:?}");
}

#[test]
fn overload_is_refused_at_once_with_when_to_come_back() {
    let limits = AdmissionLimits::new(1, 2);
    let mut door = AdmissionControl::new(limits, Duration::from_secs(1));
    let who = space("w", 1);
    assert!(matches!(admit(&mut door, &who), AdmissionDecision::Start));
    assert!(matches!(admit(&mut door, &who), AdmissionDecision::Wait(_)));
    assert!(matches!(admit(&mut door, &who), AdmissionDecision::Wait(_)));
    let AdmissionDecision::Refuse(err, back) = admit(&mut door, &who) else {
        panic!("queued beyond the bound");
    };
    assert_eq!(err.code(), Code::Overloaded);
    assert!(back >= Duration::from_secs(3), "{back:?}");
    // A deadline that cannot be met is refused before it is missed.
    let mut door = AdmissionControl::new(limits, Duration::from_secs(1));
    door.admit(&who, at(500), at(0), 0.0);
    let late = door.admit(&who, at(500), at(0), 0.0);
    assert!(matches!(late, AdmissionDecision::Refuse(..)), "{late:?}");
}

#[test]
fn returns_are_spread() {
    let limits = AdmissionLimits::new(1, 0);
    let mut door = AdmissionControl::new(limits, Duration::from_secs(1));
    let who = space("w", 1);
    door.admit(&who, at(9), at(0), 0.0);
    let mut spans = Vec::new();
    for noise in [0.0, 0.5, 1.0] {
        match door.admit(&who, at(9), at(0), noise) {
            AdmissionDecision::Refuse(_, back) => spans.push(back),
            other => panic!("{other:?}"),
        }
    }
    assert!(spans[0] < spans[1] && spans[1] < spans[2], "{spans:?}");
    assert_eq!(spans[0] * 2, spans[2]);
}

proptest! {
    /// Never more running than allowed, and no place is lost: when all have
    /// ended nothing is running.
    #[test]
    fn admission_neither_exceeds_nor_leaks(
        steps in prop::collection::vec(0u8..4, 0..200)
    ) {
        let mut door =
            AdmissionControl::new(AdmissionLimits::new(3, 4), Duration::from_millis(1));
        let spaces = [space("a", 1), space("b", 5)];
        let mut running = 0;
        let mut waiting = Vec::new();
        for step in steps {
            match step {
                0 | 1 => match admit(&mut door, &spaces[usize::from(step)]) {
                    AdmissionDecision::Start => running += 1,
                    AdmissionDecision::Wait(ticket) => waiting.push(ticket),
                    AdmissionDecision::Refuse(..) => {}
                },
                2 if running > 0 => {
                    running -= 1;
                    for t in door.finish(Duration::from_millis(1), at(1)) {
                        waiting.retain(|w| *w != t);
                        running += 1;
                    }
                }
                _ => if let Some(ticket) = waiting.pop() {
                    prop_assert!(door.cancel(ticket));
                },
            }
            prop_assert!(running <= 3);
            prop_assert_eq!(door.load(), (running, waiting.len()));
        }
    }

    /// However claims and settlements fall, a key has one holder that may
    /// have run in any window.
    #[test]
    fn a_key_has_one_holder(
        steps in prop::collection::vec((0u8..3, 0u8..3, 0u64..400), 0..80)
    ) {
        let mut keys = KeyTable::new(at(0), WINDOW, 100);
        let mut now = 1_500;
        let mut held: Option<(u8, u64)> = None;
        let k = key("k");
        for (step, who, pause) in steps {
            now += pause;
            let name = who.to_string();
            match step {
                0 | 1 => {
                    let claim = keys.claim(&k, &name, at(now));
                    if let ClaimDecision::Granted = claim {
                        if let Some((other, since)) = held {
                            let over = now - since >= 1_500;
                            prop_assert!(other == who || over);
                        }
                        if held.is_none_or(|(h, s)| {
                            h != who || now - s >= 1_500
                        }) {
                            held = Some((who, now));
                        }
                    }
                }
                _ => {
                    keys.settle(&k, &name, Ran::DidNotRun);
                    if held.is_some_and(|(h, _)| h == who) {
                        held = None;
                    }
                }
            }
        }
    }
}
