//! Tests of the parts of admission control.

use std::sync::Arc;
use std::time::Duration;

use super::{
    Admission, Calendar, Full, FullReason, LoadEstimate, OverloadSettings,
    RefusedCallers, Returning, Standing, UsualLeft, Wait,
    shortage_retry_after_ms, work,
};
use crate::Time;
use crate::direct::{AllowedRegions, Engine};
use crate::placing::{Message, Need, Question, Verdict};
use crate::poison::{Fingerprint, Identity, Suspicion};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn fingerprint(caller: &str, body: u32) -> Fingerprint {
    let body = &body.to_le_bytes();
    Fingerprint::of(&Identity { host: "", path: "/", caller, body })
}

fn need(route_priority: u8, workspace: &str, left_ms: u32) -> Need {
    Need {
        service: Arc::from("pool"),
        model: None,
        version: None,
        tried: Vec::new(),
        silent: Vec::new(),
        priority: 1,
        route_priority,
        prompt_tokens: 0,
        objective: OBJECTIVE,
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
        shared_run: None,
        workspace: Some(Arc::from(workspace)),
        left_ms,
        answer_tokens: None,
        fingerprint: Some(fingerprint(workspace, 0)),
        continued: false,
        repeatable: true,
    }
}

fn admission() -> Admission {
    Admission::new(OverloadSettings::default())
}

/// Records `count` new callers of a class, of which `served` get a place.
fn load(admission: &mut Admission, priority: u8, count: u32, served: u32) {
    for n in 0..count {
        let need = need(priority, "w", 6_000);
        let now = at(u64::from(n) * 5);
        let standing = admission.record_arrival(&need, None, now);
        admission.record_contention("pool", now);
        if n % (count / served.max(1)).max(1) == 0 && served > 0 {
            admission.record_grant("pool", &standing, now);
        }
    }
}

/// Returns the standing of a caller that is refused at `now` and returns
/// after `later_ms`.
fn returned(
    admission: &mut Admission,
    need: &Need,
    now: Time,
    later_ms: u32,
) -> Standing {
    let standing = admission.record_arrival(need, None, now);
    let reason = FullReason::Waited;
    admission.refuse(need, &standing, reason, true, now, 0.5);
    let back = Need { left_ms: need.left_ms - later_ms, ..need.clone() };
    let then = now.after(Duration::from_millis(u64::from(later_ms)));
    admission.record_arrival(&back, None, then)
}

/// Guards against callers with shorter deadlines than others being taken for
/// returning ones, and against returning ones that are not recognised.
#[test]
fn deadline_tells_returning_callers_from_new_ones() {
    let mut admission = admission();
    for n in 0..100_u32 {
        let need = need(0, "w", 6_000 - n * 9);
        let now = at(u64::from(n) * 20);
        assert!(admission.record_arrival(&need, None, now).is_new());
    }
    let back = returned(&mut admission, &need(0, "w", 5_100), at(0), 2_000);
    assert!(!back.is_new() && back.is_late(at(2_000)));
    let soon = returned(&mut admission, &need(0, "w", 5_100), at(0), 100);
    assert!(!soon.is_new() && !soon.is_late(at(100)));
    assert!(soon.is_late(at(100).after(OBJECTIVE)));
    assert_eq!(soon.begun_ago(at(100)), Duration::from_millis(100));
}

/// Guards against a caller that counts as new when it is refused again, and
/// against a refused caller that is found more than once.
#[test]
fn refused_callers_are_found_once_for_each_refusal() {
    let mut admission = admission();
    let first = need(0, "w", 5_500);
    let standing = returned(&mut admission, &first, at(0), 600);
    let again = Need { left_ms: 4_900, ..first };
    assert!(admission.record_arrival(&again, None, at(600)).is_new());
    let reason = FullReason::Late;
    admission.refuse(&again, &standing, reason, true, at(600), 0.5);
    let last = Need { left_ms: 3_500, ..again };
    let standing = admission.record_arrival(&last, None, at(2_000));
    assert_eq!(standing.begun_ago(at(2_000)), Duration::from_secs(2));
}

/// Guards against other callers that are taken for a returning one, and
/// against memory that grows with refused callers.
#[test]
fn refused_callers_are_told_apart_and_bounded() {
    let mut refused = RefusedCallers::default();
    let first = need(0, "w", 6_000);
    refused.record(&first, at(0), at(0));
    let mut longer = need(0, "w", 5_000);
    longer.fingerprint = Some(fingerprint("w", 1));
    let mut unknown = need(0, "w", 5_000);
    unknown.fingerprint = None;
    let others =
        [need(0, "other", 5_000), need(0, "w", 4_900), longer, unknown];
    for other in others {
        assert_eq!(refused.take(&other, at(1_000)), None, "{other:?}");
    }
    assert_eq!(refused.take(&need(0, "w", 4_980), at(1_000)), Some(at(0)));
    for n in 0..100_000 {
        refused.record(&need(0, "w", 6_000), at(n), at(n));
    }
    assert!(refused.len() <= 16_384);
    refused.record(&need(0, "w", 6_000), at(200_000), at(200_000));
    assert_eq!(refused.len(), 1, "the others' deadlines have passed");
}

/// Guards against a caller that was refused by another process passing for a
/// new one, and against the times of returning callers becoming usual.
#[test]
fn callers_refused_elsewhere_are_known_by_the_time_left() {
    let mut admission = admission();
    for n in 0..100_u32 {
        let need = need(0, "w", 6_000 - n * 9);
        admission.record_arrival(&need, None, at(u64::from(n) * 30));
    }
    admission.record_contention("pool", at(3_000));
    for n in 0..100_u32 {
        let now = at(3_000 + u64::from(n) * 200);
        let back = need(0, "w", 3_600);
        let back = admission.record_arrival(&back, None, now);
        assert!(!back.is_new() && back.is_late(now));
        let new = need(0, "w", 6_000 - n * 9);
        let now = now.after(Duration::from_millis(100));
        assert!(admission.record_arrival(&new, None, now).is_new());
    }
}

/// Guards against a workspace with its own shorter deadline being taken for
/// returning callers, and against memory that grows with names.
#[test]
fn workspaces_have_their_own_usual_time() {
    let mut usual = UsualLeft::new();
    let own = Arc::from("short");
    for n in 0..400_u64 {
        let other = Arc::from(format!("w{}", n % 9));
        usual.record(Some(&other), 6_000, at(n * 30));
        if n % 40 == 0 {
            usual.record(Some(&own), 2_000, at(n * 30 + 1));
        }
    }
    let ago = |name: &Arc<str>, left| {
        usual.begun_ago(Some(name), left, at(12_000)).as_millis()
    };
    assert_eq!(ago(&own, 2_000), 0);
    assert_eq!(ago(&own, 1_600), 67);
    assert_eq!(ago(&Arc::from("unseen"), 2_000), 3_000);
}

/// Guards against an order that differs from the one in the design.
#[test]
fn requests_that_can_be_in_time_go_first_and_then_by_urgency() {
    let mut admission = admission();
    load(&mut admission, 0, 100, 100);
    load(&mut admission, 1, 100, 100);
    let now = at(600);
    let mut arrive = |priority| {
        let need = need(priority, "w", 6_000);
        admission.record_arrival(&need, None, now)
    };
    let urgent = arrive(0);
    let other = arrive(1);
    let began = now.before(Duration::from_secs(2));
    let late = returned(&mut admission, &need(0, "w", 6_000), began, 2_000);
    let rank = |standing: &Standing, arrival| {
        admission.rank("pool", standing, arrival, now)
    };
    assert!(rank(&urgent, 2) < rank(&other, 1));
    assert!(rank(&other, 2) < rank(&late, 1));
    assert!(rank(&urgent, 1) < rank(&urgent, 2));
}

/// Guards against a class without any places, and against one that gets a
/// larger share than a more urgent one.
#[test]
fn class_below_the_floor_goes_first_unless_a_more_urgent_one_has_less() {
    let arrive = |urgent_served, other_served| {
        let mut admission = admission();
        load(&mut admission, 0, 100, urgent_served);
        load(&mut admission, 1, 100, other_served);
        let now = at(500);
        let urgent = admission.record_arrival(&need(0, "w", 6_000), None, now);
        let other = admission.record_arrival(&need(1, "w", 6_000), None, now);
        let urgent = admission.rank("pool", &urgent, 1, now);
        admission.rank("pool", &other, 2, now) < urgent
    };
    assert!(arrive(100, 10));
    assert!(!arrive(100, 100));
    assert!(!arrive(10, 20), "a more urgent class has less");
}

/// Guards against a started stream that waits behind new requests, whatever
/// their class.
#[test]
fn continued_streams_go_first() {
    let mut admission = admission();
    load(&mut admission, 0, 100, 10);
    let now = at(500);
    let new = admission.record_arrival(&need(0, "w", 6_000), None, now);
    let mut need = need(9, "w", 0);
    need.continued = true;
    let old = admission.record_arrival(&need, None, now);
    let [new, old] = [new, old].map(|s| admission.rank("pool", &s, 1, now));
    assert!(old < new);
}

/// Guards against late requests that wait in vain behind others, and against
/// refusals without contention.
#[test]
fn late_requests_wait_only_if_no_other_can_be_in_time() {
    let mut admission = admission();
    load(&mut admission, 0, 100, 100);
    let now = at(600);
    let new = admission.record_arrival(&need(0, "w", 6_000), None, now);
    let began = now.before(Duration::from_secs(3));
    let late = returned(&mut admission, &need(0, "w", 6_000), began, 3_000);
    let [new_rank, late_rank] =
        [&new, &late].map(|s| admission.rank("pool", s, 1, now));
    let wait = |queued: &[(_, &Standing)]| {
        let queued = queued.iter().map(|(rank, standing)| (rank, *standing));
        let request = (&late_rank, &late);
        admission.wait("pool", request, queued, OBJECTIVE / 8, true, now)
    };
    assert_eq!(wait(&[(new_rank, &new)]), Wait::No(FullReason::Late));
    assert_eq!(wait(&[(late_rank, &late)]), Wait::Yes);
}

/// Guards against requests that wait although those ahead of them need all
/// capacity for longer than they may wait.
#[test]
fn request_behind_too_many_others_is_refused_at_once() {
    let mut admission = admission();
    // 100 requests a second get a place: 5 within the wait of 50 ms.
    load(&mut admission, 0, 200, 100);
    let now = at(1_000);
    let standing = admission.record_arrival(&need(0, "w", 6_000), None, now);
    let rank = |arrival| admission.rank("pool", &standing, arrival, now);
    let wait = |ahead: u64| {
        let queued: Vec<_> =
            (0..ahead).map(|n| (rank(n), &standing)).collect();
        let queued = queued.iter().map(|(rank, standing)| (rank, *standing));
        let request = (&rank(99), &standing);
        admission.wait("pool", request, queued, OBJECTIVE / 8, true, now)
    };
    assert_eq!(wait(4), Wait::Yes);
    assert_eq!(wait(30), Wait::No(FullReason::Behind));
}

/// Guards against a capacity that is read off quiet times, and against an
/// estimate that outlives the overload.
#[test]
fn capacity_is_the_work_granted_under_contention() {
    let mut estimate = LoadEstimate::default();
    for n in 0..200 {
        let now = at(n * 10);
        estimate.record_asked(1.0, now);
        if n < 100 || n % 2 == 0 {
            estimate.record_granted(1.0, now);
        }
        if n >= 100 {
            estimate.record_contention(now);
        }
        if n == 99 {
            assert_eq!(estimate.load(now), None);
        }
    }
    let load = estimate.load(at(2_000)).unwrap();
    assert!((load.capacity - 50.0).abs() < 1.0, "{load:?}");
    assert!((load.demand - 100.0).abs() < 1.0, "{load:?}");
    assert!((load.shortage() - 0.5).abs() < 0.02, "{load:?}");
    assert!(load.is_settled(), "{load:?}");
    assert_eq!(estimate.load(at(3_200)), None);
}

/// Guards against return times that are promised from the places of a single
/// batch, which exceed the demand of the first moments.
#[test]
fn no_time_is_promised_before_the_capacity_is_settled() {
    let refuse_after = |intervals: u64| {
        let mut admission = admission();
        for n in 0..intervals * 10 {
            let now = at(n * 10);
            let need = need(0, "w", 6_000);
            let standing = admission.record_arrival(&need, None, now);
            admission.record_contention("pool", now);
            for _ in 0..2 {
                admission.record_grant("pool", &standing, now);
            }
        }
        let now = at(intervals * 100);
        let need = need(0, "w", 6_000);
        let standing = admission.record_arrival(&need, None, now);
        let reason = FullReason::Waited;
        admission.refuse(&need, &standing, reason, true, now, 0.5).promised
    };
    assert!(!refuse_after(2));
    assert!(refuse_after(4));
}

/// Guards against long prompts or answers counting like short ones.
#[test]
fn work_follows_tokens() {
    let engine = Engine {
        slots: 10,
        read_per_s: 20_000.0,
        step_ms: 10.0,
        ..Engine::default()
    };
    let engine = Some(&engine);
    assert!((work(engine, 1_000, 20.0) - 70.0).abs() < 1e-9);
    assert!((work(engine, 2_000, 20.0) - 120.0).abs() < 1e-9);
    assert!((work(None, 2_000, 20.0) - 1.0).abs() < 1e-9);
}

/// Guards against one caller's wrong hint of the length of its answer, by
/// which the others of its class wait or are refused.
#[test]
fn hints_of_long_answers_are_bounded() {
    let engine = Engine {
        slots: 1,
        step_ms: 1.0,
        usual_answer: 100.0,
        ..Engine::default()
    };
    let mut admission = admission();
    let mut work = |answer_tokens| {
        let need = Need { answer_tokens, ..need(0, "w", 6_000) };
        admission.record_arrival(&need, Some(&engine), at(0)).work
    };
    let usual = work(Some(100));
    let wrong = work(Some(4_000_000_000));
    let other = work(None);
    assert!(wrong <= 10.0 * usual, "{wrong} {usual}");
    assert!(other <= 1.5 * usual, "{other} {usual}");
    assert!(work(Some(300)) > 2.0 * usual, "moderate hints count");
}

fn caller(left_ms: u32) -> Returning {
    let workspace = Some(Arc::from("w"));
    Returning { urgency: (1, 0), workspace, left_ms, work: 1.0 }
}

/// Guards against more callers being told to return than fit, and against
/// times beyond those at which callers return.
#[test]
fn no_more_callers_are_promised_a_time_than_fit() {
    let mut calendar = Calendar::default();
    let mut slots = std::collections::BTreeMap::new();
    let mut promised = 0;
    for n in 0..200 {
        let jitter = f64::from(n) / 200.0;
        let delay = calendar.promise(caller(6_000), 20.0, at(0), jitter);
        let Some(delay) = delay else { continue };
        assert!(delay <= Duration::from_millis(2_100), "{delay:?}");
        assert!(delay >= Duration::from_millis(200), "{delay:?}");
        *slots.entry(delay.as_millis() / 100).or_insert(0) += 1;
        promised += 1;
    }
    // 20 a second fit into 2.1 s; those of the first slots come in the third.
    assert_eq!(promised, 42);
    assert!(slots.values().all(|count| *count <= 6), "{slots:?}");
    assert_eq!(calendar.promise(caller(6_000), 20.0, at(0), 0.5), None);
    assert_eq!(calendar.promise(caller(6_000), 0.0, at(50), 0.5), None);
}

/// Guards against a small service that never promises a time because a
/// request needs more than a slot has.
#[test]
fn work_of_a_request_may_exceed_a_slot() {
    let mut calendar = Calendar::default();
    let first = calendar.promise(caller(6_000), 2.0, at(0), 0.0).unwrap();
    let next = calendar.promise(caller(6_000), 2.0, at(0), 0.0).unwrap();
    assert_eq!(first.as_millis(), 400);
    assert_eq!(next.as_millis(), 900);
}

/// Guards against callers that return early, late or twice passing for ones
/// that return as told, and against promises that stay for good.
#[test]
fn promise_is_taken_up_once_and_within_its_slot() {
    let promise = || {
        let mut calendar = Calendar::default();
        let delay = calendar.promise(caller(6_000), 50.0, at(0), 0.5);
        (calendar, delay.unwrap().as_millis() as u32)
    };
    let (mut calendar, delay) = promise();
    let now = at(u64::from(delay) + 8);
    let left = 6_000 - delay - 8;
    assert!(!calendar.take_up(&caller(left - 500), now));
    let mut other = caller(left);
    other.workspace = Some(Arc::from("other"));
    assert!(!calendar.take_up(&other, now));
    assert!(calendar.take_up(&caller(left), now));
    assert!(!calendar.take_up(&caller(left), now), "taken up twice");
    let (mut calendar, delay) = promise();
    let late = u64::from(delay) + 300;
    assert!(!calendar.take_up(&caller(left - 300), at(late)));
    assert!(calendar.is_empty(), "the promise has expired");
}

/// Guards against callers that are refused together returning together, and
/// against times that no caller waits for.
#[test]
fn retry_after_grows_with_the_shortage_up_to_what_callers_wait_for() {
    let span = |shortage, left| {
        let at = |jitter| shortage_retry_after_ms(shortage, left, jitter);
        (at(0.0), at(1.0))
    };
    assert_eq!(span(0.0, 20_000), (1_000, 2_000));
    let short = span(0.24, 20_000);
    assert!(short.0 > 1_500 && short.1 > 3_000, "{short:?}");
    // Callers wait for a third of the time left.
    for shortage in [0.0, 0.24, 1.0] {
        let (min, max) = span(shortage, 6_000);
        assert!(max <= 2_000 && max - min >= 600, "{min} {max}");
    }
    assert!(span(1.0, 90).1 <= 30);
}

/// Guards against entries of the previous build that cannot read a question,
/// and against values of another process that are out of range.
#[test]
fn messages_of_the_previous_build_are_read() {
    let mut plain = need(0, "w", 0);
    plain.workspace = None;
    plain.fingerprint = None;
    let question =
        Question { number: 1, need: plain, wait_ms: 50, left_ms: 6_000 };
    let text = serde_json::to_string(&Message::Ask(question)).unwrap();
    for field in ["workspace", "answer_tokens", "fingerprint", "continued"] {
        assert!(!text.contains(field), "{text}");
    }
    let read: Message = serde_json::from_str(&text).unwrap();
    assert!(matches!(read, Message::Ask(q) if q.need.left_ms == 0));
    let verdict = r#"{"full":{"retry_after_ms":700,"reason":"late"}}"#;
    let read: Verdict = serde_json::from_str(verdict).unwrap();
    let Verdict::Full(full) = read else { panic!("{read:?}") };
    assert!(full.is_valid() && !full.promised);
    let wrong = Full { retry_after_ms: u32::MAX, ..full };
    assert!(!wrong.is_valid());
    assert!(!Full { capacity: -1.0, ..full }.is_valid());
    assert!(full.to_string().contains("no capacity is expected"));
}

/// Guards against a setting out of range that is only noticed under load.
#[test]
fn floor_share_is_checked() {
    assert!(OverloadSettings::default().check().is_ok());
    for floor in [-0.1, 1.1, f64::NAN] {
        let settings =
            OverloadSettings { floor, ..OverloadSettings::default() };
        assert!(settings.check().is_err());
    }
}

/// Guards against questions that exceed a datagram of 1,200 bytes with the
/// fields for admission control. A requester names 28 resting replicas.
#[test]
fn question_fits_into_a_datagram() {
    let mut need = need(0, &"w".repeat(64), 60_000);
    need.tried = (0..28).map(|n| Arc::from(format!("i-{n:020}"))).collect();
    need.model = Some(Arc::from("m".repeat(24)));
    need.answer_tokens = Some(100_000);
    let question =
        Question { number: 1 << 52, need, wait_ms: 100, left_ms: 60_000 };
    let json = serde_json::to_vec(&Message::Ask(question)).unwrap();
    assert!(json.len() <= 1_200, "{} bytes", json.len());
}

/// Guards against late requests taking places at entries without a placer,
/// where those that can be in time wait at other entries, and against
/// refusals of late requests without a shortage.
#[test]
fn without_a_placer_late_requests_do_not_wait_during_a_shortage() {
    let answer = |served, is_placer| {
        let mut admission = admission();
        load(&mut admission, 0, 200, served);
        let now = at(1_000);
        let late = admission.record_arrival(&need(0, "w", 3_000), None, now);
        let rank = admission.rank("pool", &late, 1, now);
        let none = std::iter::empty();
        let wait = OBJECTIVE / 8;
        admission.wait("pool", (&rank, &late), none, wait, is_placer, now)
    };
    assert_eq!(answer(100, false), Wait::No(FullReason::Late));
    assert_eq!(answer(100, true), Wait::Yes);
    assert_eq!(answer(200, false), Wait::Yes);
}

/// Guards against a class that gets more than a more urgent one at entries
/// without a placer, where the requests of the latter wait at other entries.
#[test]
fn without_a_placer_no_class_gets_more_than_a_more_urgent_one() {
    let answer = |urgent_served, is_placer| {
        let mut admission = admission();
        load(&mut admission, 0, 200, urgent_served);
        load(&mut admission, 1, 200, 100);
        let now = at(1_000);
        let new = admission.record_arrival(&need(1, "w", 6_000), None, now);
        let rank = admission.rank("pool", &new, 1, now);
        let none = std::iter::empty();
        let wait = OBJECTIVE / 8;
        admission.wait("pool", (&rank, &new), none, wait, is_placer, now)
    };
    assert_eq!(answer(50, false), Wait::No(FullReason::Behind));
    assert_eq!(answer(50, true), Wait::Yes);
    assert_eq!(answer(100, false), Wait::Yes);
}
