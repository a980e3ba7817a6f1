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
fn revoked_attempt_is_never_admitted() {
    let mut table = AttemptTable::new(7, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    assert_eq!(table.revoke(&a, 7, at(0)), Ran::DidNotRun);
    let late = table.admit(&a, 7, at(1)).unwrap_err();
    assert_eq!(late.code(), Code::Revoked);
}

#[test]
fn admitted_attempt_is_never_reported_as_not_run() {
    let mut table = AttemptTable::new(7, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    table.admit(&a, 7, at(0)).unwrap();
    assert_eq!(table.revoke(&a, 7, at(1)), Ran::MayHaveRun);
    table.end(&a, Ran::Ran, at(2));
    assert_eq!(table.revoke(&a, 7, at(3)), Ran::Ran);
    assert!(table.admit(&a, 7, at(4)).is_err());
}

#[test]
fn incarnation_does_not_answer_for_an_earlier_one() {
    let mut table = AttemptTable::new(8, WINDOW, 100);
    let a = Attempt::new("e", 1, 1);
    assert_eq!(table.revoke(&a, 7, at(0)), Ran::MayHaveRun);
    let err = table.admit(&a, 7, at(0)).unwrap_err();
    assert_eq!(err.code(), Code::Behind);
}

#[test]
fn full_attempt_table_refuses_and_keeps_its_entries() {
    let mut table = AttemptTable::new(1, WINDOW, 2);
    for i in 0..2 {
        table.admit(&Attempt::new("e", 1, i), 1, at(0)).unwrap();
    }
    let err = table.admit(&Attempt::new("e", 1, 9), 1, at(0)).unwrap_err();
    assert_eq!(err.code(), Code::GuardFull);
    assert_eq!(table.revoke(&Attempt::new("e", 1, 8), 1, at(0)), {
        // The table has no room to record the revocation, so it must not
        // answer that the attempt will not run.
        Ran::MayHaveRun
    });
}

/// With a window of 1,000 ms a grant is kept for 1,500 ms, and a restarted
/// guard grants nothing for as long.
#[test]
fn key_is_granted_once_in_its_window() {
    let mut keys = KeyTable::new(at(0), WINDOW, 100);
    let code = |c| match c {
        ClaimDecision::Granted => None,
        ClaimDecision::Refused(err, _) => Some(err.code()),
    };
    let k = key("k");
    let early = code(keys.claim(&k, "a", at(1_499)));
    assert_eq!(early, Some(Code::GuardForgetful));
    assert_eq!(code(keys.claim(&k, "a", at(1_500))), None);
    assert_eq!(
        code(keys.claim(&k, "a", at(1_501))),
        None,
        "claimed again by its holder"
    );
    let other = code(keys.claim(&k, "b", at(2_000)));
    assert_eq!(other, Some(Code::DuplicateRunning));
    keys.settle(&k, "b", Ran::DidNotRun);
    assert!(
        code(keys.claim(&k, "b", at(2_000))).is_some(),
        "settled by another holder"
    );
    keys.settle(&k, "a", Ran::Ran);
    keys.settle(&k, "a", Ran::DidNotRun);
    let ran = code(keys.claim(&k, "b", at(2_999)));
    assert_eq!(ran, Some(Code::DuplicateRan));
    assert_eq!(code(keys.claim(&k, "b", at(3_000))), None, "window over");
}

#[test]
fn key_is_granted_again_if_the_request_did_not_run() {
    let mut keys = KeyTable::new(at(0), Duration::ZERO, 100);
    keys.set_window(at(0), WINDOW);
    let k = key("k");
    assert!(matches!(keys.claim(&k, "a", at(1_500)), ClaimDecision::Granted));
    keys.settle(&k, "a", Ran::DidNotRun);
    assert!(matches!(keys.claim(&k, "b", at(2_500)), ClaimDecision::Granted));
    // The expiry of the first grant does not remove the second one.
    let again = keys.claim(&k, "c", at(3_100));
    assert!(matches!(again, ClaimDecision::Refused(..)), "{again:?}");
}

#[test]
fn full_key_table_refuses_and_keeps_its_entries() {
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
        ClaimDecision::Granted => panic!("granted beyond the capacity"),
    }
}

fn names(list: &[&str]) -> Vec<Arc<str>> {
    list.iter().map(|n| Arc::from(*n)).collect()
}

#[test]
fn new_guard_asks_the_former_one_for_a_window() {
    let old = GuardSet::new(1, names(&["a", "b"]));
    let new = GuardSet::new(2, names(&["a", "b", "c"]));
    let moved = (0..100)
        .map(|i| key(&i.to_string()))
        .find(|k| new.guard(k).as_deref() == Some("c"));
    let k = moved.unwrap();
    let before = old.guard(&k).unwrap();
    let mut history = GuardHistory::new();
    history.adopt(old, at(0));
    assert!(history.former_guards(&k, "c", WINDOW, at(0)).is_empty());
    history.adopt(new, at(100));
    let ask = |r: &GuardHistory, ms| r.former_guards(&k, "c", WINDOW, at(ms));
    let asked = vec![before.clone()];
    assert_eq!(ask(&history, 100), asked);
    assert_eq!(
        ask(&history, 90_000),
        asked,
        "former guard has not reported the new revision"
    );
    history.record_revision(&before, 1, at(90_000));
    assert_eq!(
        ask(&history, 99_000),
        asked,
        "former guard has reported an older revision"
    );
    history.record_revision(&before, 2, at(100_000));
    assert_eq!(ask(&history, 100_999), asked);
    assert!(ask(&history, 101_000).is_empty());
}

#[test]
fn undeclared_guard_counts_as_former_for_one_window() {
    let old = GuardSet::new(1, names(&["a", "b"]));
    let k = key("k");
    let gone = old.guard(&k).unwrap();
    let stays = if &*gone == "a" { "b" } else { "a" };
    let mut history = GuardHistory::new();
    history.adopt(old, at(0));
    history.adopt(GuardSet::new(2, names(&[stays])), at(100));
    assert_eq!(history.former_guards(&k, stays, WINDOW, at(1_099)), [gone]);
    assert!(history.former_guards(&k, stays, WINDOW, at(1_100)).is_empty());
}

#[test]
fn decision_after_a_failed_attempt() {
    use Failure::{Failed, Interrupted, NoResponse, Refused, Unsent};
    let not = |code| RetryDecision::Respond(code, Ran::DidNotRun);
    let may = |code| RetryDecision::Respond(code, Ran::MayHaveRun);
    let full = Refused(Code::NotServing);
    let failed = Failed(Code::EngineLost);
    let again = Failure::Duplicate(Code::DuplicateRan);
    let table = [
        // repeatable, failure, may_retry, decision
        (true, Unsent, true, RetryDecision::Retry),
        (false, Unsent, true, RetryDecision::Retry),
        (false, Unsent, false, not(Code::NoBackend)),
        (false, full, true, RetryDecision::Retry),
        (false, full, false, not(Code::NotServing)),
        (true, NoResponse, true, RetryDecision::Retry),
        (true, NoResponse, false, may(Code::LostBackend)),
        (false, NoResponse, true, RetryDecision::Revoke),
        (false, NoResponse, false, RetryDecision::Revoke),
        (true, failed, true, RetryDecision::Retry),
        (false, failed, true, may(Code::EngineLost)),
        (
            false,
            again,
            true,
            RetryDecision::Respond(Code::DuplicateRan, Ran::Ran),
        ),
        (true, Interrupted, true, may(Code::AnswerBroke)),
        (false, Interrupted, true, may(Code::AnswerBroke)),
    ];
    for (repeatable, failure, may_retry, decision) in table {
        let got = RequestRetry::new(repeatable).failed(failure, may_retry);
        assert_eq!(got, decision, "{repeatable} {failure:?} {may_retry}");
    }
}

#[test]
fn late_did_not_run_is_not_relied_upon() {
    let retention = Duration::from_millis(1_000);
    let ms = Duration::from_millis;
    let table = [
        (Some(Ran::DidNotRun), 499, Ran::DidNotRun),
        (Some(Ran::DidNotRun), 500, Ran::MayHaveRun),
        (Some(Ran::Ran), 900, Ran::Ran),
        (Some(Ran::MayHaveRun), 1, Ran::MayHaveRun),
        (None, 1, Ran::MayHaveRun),
    ];
    for (answer, elapsed, ran) in table {
        assert_eq!(
            revocation_outcome(answer, ms(elapsed), retention),
            ran,
            "{answer:?} {elapsed}"
        );
    }
}

#[test]
fn retries_are_limited_to_a_ratio_of_requests() {
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

fn new_workspace(name: &str, share: u32) -> Workspace {
    Workspace::new(name, share, 5)
}

/// Asks for the admission of a request with a distant deadline.
fn admit(
    admission: &mut AdmissionControl,
    workspace: &Workspace,
) -> AdmissionDecision {
    admission.admit(workspace, at(60_000), at(0), 0.0)
}

#[test]
fn workspaces_get_their_shares_under_load() {
    let limits = AdmissionLimits::new(10, 1_000);
    let mut admission =
        AdmissionControl::new(limits, Duration::from_millis(1));
    let (large, small) =
        (new_workspace("large", 9), new_workspace("small", 1));
    let mut owner = std::collections::HashMap::new();
    for _ in 0..500 {
        for workspace in [&large, &small] {
            if let AdmissionDecision::Wait(ticket) =
                admit(&mut admission, workspace)
            {
                owner.insert(ticket, Arc::clone(workspace.name()));
            }
        }
    }
    let mut started = [0, 0];
    for _ in 0..200 {
        for ticket in admission.finish(Duration::from_millis(1), at(1)) {
            started[usize::from(&*owner[&ticket] == "small")] += 1;
        }
    }
    assert_eq!(started[0] + started[1], 200);
    assert!((15..=25).contains(&started[1]), "{started:?}");
}

#[test]
fn overload_is_refused_at_once_with_a_retry_time() {
    let limits = AdmissionLimits::new(1, 2);
    let mut admission = AdmissionControl::new(limits, Duration::from_secs(1));
    let workspace = new_workspace("w", 1);
    assert!(matches!(
        admit(&mut admission, &workspace),
        AdmissionDecision::Start
    ));
    assert!(matches!(
        admit(&mut admission, &workspace),
        AdmissionDecision::Wait(_)
    ));
    assert!(matches!(
        admit(&mut admission, &workspace),
        AdmissionDecision::Wait(_)
    ));
    let AdmissionDecision::Refuse(err, retry_after) =
        admit(&mut admission, &workspace)
    else {
        panic!("queued beyond the limit");
    };
    assert_eq!(err.code(), Code::Overloaded);
    assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    // A request whose deadline cannot be met is refused at once.
    let mut admission = AdmissionControl::new(limits, Duration::from_secs(1));
    admission.admit(&workspace, at(500), at(0), 0.0);
    let late = admission.admit(&workspace, at(500), at(0), 0.0);
    assert!(matches!(late, AdmissionDecision::Refuse(..)), "{late:?}");
}

#[test]
fn retry_times_are_spread_by_jitter() {
    let limits = AdmissionLimits::new(1, 0);
    let mut admission = AdmissionControl::new(limits, Duration::from_secs(1));
    let workspace = new_workspace("w", 1);
    admission.admit(&workspace, at(9), at(0), 0.0);
    let mut delays = Vec::new();
    for jitter in [0.0, 0.5, 1.0] {
        match admission.admit(&workspace, at(9), at(0), jitter) {
            AdmissionDecision::Refuse(_, delay) => delays.push(delay),
            other => panic!("{other:?}"),
        }
    }
    assert!(delays[0] < delays[1] && delays[1] < delays[2], "{delays:?}");
    assert_eq!(delays[0] * 2, delays[2]);
}

proptest! {
    /// Never more requests run than allowed, and the counts of running and
    /// queued requests stay exact.
    #[test]
    fn admission_keeps_its_limit_and_counts(
        steps in prop::collection::vec(0u8..4, 0..200)
    ) {
        let mut admission = AdmissionControl::new(
            AdmissionLimits::new(3, 4),
            Duration::from_millis(1),
        );
        let workspaces = [new_workspace("a", 1), new_workspace("b", 5)];
        let mut running = 0;
        let mut waiting = Vec::new();
        for step in steps {
            match step {
                0 | 1 => match admit(
                    &mut admission,
                    &workspaces[usize::from(step)],
                ) {
                    AdmissionDecision::Start => running += 1,
                    AdmissionDecision::Wait(ticket) => waiting.push(ticket),
                    AdmissionDecision::Refuse(..) => {}
                },
                2 if running > 0 => {
                    running -= 1;
                    for t in
                        admission.finish(Duration::from_millis(1), at(1))
                    {
                        waiting.retain(|w| *w != t);
                        running += 1;
                    }
                }
                _ => if let Some(ticket) = waiting.pop() {
                    prop_assert!(admission.cancel(ticket));
                },
            }
            prop_assert!(running <= 3);
            prop_assert_eq!(admission.load(), (running, waiting.len()));
        }
    }

    /// For any order of claims and settlements, a key has at most one holder
    /// in any window that may have run the request.
    #[test]
    fn key_has_one_holder(
        steps in prop::collection::vec((0u8..3, 0u8..3, 0u64..400), 0..80)
    ) {
        let mut keys = KeyTable::new(at(0), WINDOW, 100);
        let mut now = 1_500;
        let mut held: Option<(u8, u64)> = None;
        let k = key("k");
        for (step, holder, pause) in steps {
            now += pause;
            let name = holder.to_string();
            match step {
                0 | 1 => {
                    let claim = keys.claim(&k, &name, at(now));
                    if let ClaimDecision::Granted = claim {
                        if let Some((other, since)) = held {
                            let over = now - since >= 1_500;
                            prop_assert!(other == holder || over);
                        }
                        if held.is_none_or(|(h, s)| {
                            h != holder || now - s >= 1_500
                        }) {
                            held = Some((holder, now));
                        }
                    }
                }
                _ => {
                    keys.settle(&k, &name, Ran::DidNotRun);
                    if held.is_some_and(|(h, _)| h == holder) {
                        held = None;
                    }
                }
            }
        }
    }
}
