//! Tests of direct serving.

use std::sync::Arc;
use std::time::Duration;

use super::balance::{Candidate, LatencyModel, Load, choose};
use super::{
    AttemptResult, EventSplitter, HeardVersion, LayerRange, NextStep, Repeat,
    RetryShare, RolloutTurn, RouteTable, RouteTableParts, VersionTarget,
    VersionTargets, next_step,
};
use crate::{Code, Time};

fn target(version: u64) -> VersionTarget {
    VersionTarget { model: Arc::from("matcher"), version }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

const fn heard(ms: u64, estimated: bool) -> HeardVersion {
    let at = Time::from_millis(ms);
    HeardVersion { since: at, estimated, previous: None, unheard: at }
}

#[test]
fn target_version_never_decreases() {
    let mut targets = VersionTargets::default();
    assert!(targets.record(&target(2), at(0)));
    assert!(!targets.record(&target(1), at(5)));
    assert!(!targets.record(&target(2), at(5)));
    assert_eq!(targets.version("matcher"), Some(2));
}

#[test]
fn version_is_outdated_from_the_first_newer_target() {
    let mut targets = VersionTargets::default();
    targets.record(&target(2), at(1_000));
    targets.record(&target(3), at(3_000));
    // Each version is outdated from the first newer target on. A later
    // target must not extend the time of a replica with an old version.
    assert_eq!(targets.outdated_since("matcher", 1), Some(at(1_000)));
    assert_eq!(targets.outdated_since("matcher", 2), Some(at(3_000)));
    assert_eq!(targets.outdated_since("matcher", 3), None);
    assert_eq!(targets.outdated_since("other", 1), None);
}

const TABLE: &str = "
revision: 4
services:
  - {name: matcher-pool, connections: 10}
  - {name: counter, connections: 10}
workspaces:
  - {name: desk, keys: [k1, k2], priority: 0}
routes:
  - {host: a.example, prefix: /, repeat: freely, streaming: false,
     timeout_ms: 1000, objective_ms: 100, attempts: 2, priority: 1,
     destinations: [{service: counter, weight: 1}]}
  - {host: a.example, prefix: /match/, repeat: resume, streaming: true,
     timeout_ms: 1000, objective_ms: 100, attempts: 2, priority: 1,
     destinations: [{service: matcher-pool, weight: 9},
                    {service: counter, weight: 1}]}
";

fn parts() -> RouteTableParts {
    serde_saphyr::from_str(TABLE).unwrap()
}

#[test]
fn longest_prefix_of_the_host_matches() {
    let table = RouteTable::new(parts()).unwrap();
    let prefix =
        |host, path| table.route(host, path).map(|r| r.prefix.to_string());
    for (host, path, want) in [
        ("a.example", "/match/x", Some("/match/")),
        ("a.example", "/match", Some("/")),
        ("a.example", "/other/match/", Some("/")),
        ("b.example", "/match/x", None),
    ] {
        assert_eq!(prefix(host, path).as_deref(), want, "{host}{path}");
    }
}

#[test]
fn keys_identify_workspaces() {
    let table = RouteTable::new(parts()).unwrap();
    assert!(table.requires_keys());
    assert_eq!(&*table.workspace("k2").unwrap().name, "desk");
    assert!(table.workspace("k3").is_none());
}

#[test]
fn weights_split_requests_in_proportion() {
    let table = RouteTable::new(parts()).unwrap();
    let route = table.route("a.example", "/match/").unwrap();
    let mut counter = 0;
    for step in 0..1_000u32 {
        let drawn = step * (u32::MAX / 1_000);
        counter += u32::from(&**route.service(drawn).unwrap() == "counter");
    }
    assert!((98..=102).contains(&counter), "{counter} of 1000");
}

#[test]
fn invalid_table_is_rejected_with_a_code() {
    let mut unknown = parts();
    unknown.routes[0].destinations[0].service = Arc::from("nobody");
    let mut slashless = parts();
    slashless.routes[0].prefix = Arc::from("/match");
    let mut nowhere = parts();
    nowhere.routes[0].destinations.clear();
    for (parts, code) in [
        (unknown, Code::UnknownReference),
        (slashless, Code::OutOfRange),
        (nowhere, Code::OutOfRange),
    ] {
        assert_eq!(RouteTable::new(parts).unwrap_err().code(), code);
    }
}

#[test]
fn next_step_for_each_attempt_result() {
    use AttemptResult::{Declined, Interrupted, NoResponse, Unsent};
    use NextStep::{Fail, Refuse, Retry};
    use Repeat::{Freely, Never, Resume};
    for (result, repeat, ran, may_retry, want) in [
        (Unsent, Never, false, true, Retry),
        (Declined, Never, false, true, Retry),
        (NoResponse, Never, false, true, Fail),
        (NoResponse, Freely, false, true, Retry),
        (NoResponse, Resume, false, true, Retry),
        (Interrupted, Resume, false, true, Retry),
        (Interrupted, Never, false, true, Fail),
        (Unsent, Never, false, false, Refuse),
        (Declined, Freely, false, false, Refuse),
        // An earlier attempt may have run, so "did not run" would be wrong.
        (Declined, Freely, true, false, Fail),
        (NoResponse, Freely, false, false, Fail),
    ] {
        let got = next_step(result, repeat, ran, may_retry);
        assert_eq!(got, want, "{result:?} {repeat:?} {ran} {may_retry}");
    }
}

/// Returns the number of retries of all entries in a window in which every
/// attempt fails, and the number that the budget allows. Each entry receives
/// `requests` requests.
fn fleet_retries(
    (ratio, minimum): (f64, f64),
    entries: usize,
    requests: u64,
) -> (f64, f64) {
    let window = Duration::from_secs(10);
    let (mut spent, mut all) = (0, 0);
    for _ in 0..entries {
        let mut share = RetryShare::new(window, ratio, minimum, Some(entries));
        for step in 0..requests {
            let now = at(step * 10_000 / requests);
            share.record_request(now);
            all += 1;
            spent += u32::from(share.try_spend(now));
        }
    }
    (f64::from(spent), f64::from(all) * ratio + minimum)
}

#[test]
fn retry_shares_stay_within_the_fleet_budget() {
    let (spent, budget) = fleet_retries((0.2, 100.0), 8, 1_000);
    assert!(spent <= budget, "{spent} of {budget}");
    assert!(spent >= budget * 0.6, "{spent} of {budget}");
}

/// Each entry of a large fleet receives few requests, so most retries come
/// from the fixed allowance.
#[test]
fn retry_allowances_stay_within_the_fleet_budget() {
    for (entries, minimum) in [(7, 102.0), (327, 654.0), (1_000, 2_000.0)] {
        let (spent, budget) = fleet_retries((0.2, minimum), entries, 16);
        assert!(spent <= budget, "{entries} entries: {spent} of {budget}");
        let used = entries < 40 || spent >= budget * 0.5;
        assert!(used, "{entries} entries: {spent} of {budget}");
    }
}

/// Guards against entries that are restarted one after the other, each life of
/// which spends a whole allowance in the same window.
#[test]
fn retry_allowances_of_restarted_entries_stay_within_the_fleet_budget() {
    let window = Duration::from_secs(10);
    for entries in [4_u64, 30, 40, 350] {
        let minimum = 20.0 * entries as f64;
        let mut spent = 0;
        for entry in 0..entries {
            let restart = 10_000 * entry / entries;
            let fleet = Some(entries as usize);
            let mut first = RetryShare::new(window, 0.0, minimum, fleet);
            let mut second = first.clone();
            second.set_restarted(at(restart));
            for ms in (0..10_000).step_by(50) {
                let share =
                    if ms < restart { &mut first } else { &mut second };
                spent += u32::from(share.try_spend(at(ms)));
            }
        }
        let spent = f64::from(spent);
        assert!(spent <= minimum, "{entries} entries: {spent} of {minimum}");
    }
}

#[test]
fn retries_are_regained_as_the_window_slides() {
    let window = Duration::from_secs(10);
    let mut share = RetryShare::new(window, 0.0, 100.0, Some(10));
    assert!(share.try_spend(at(0)));
    assert!(share.try_spend(at(0)));
    assert!(!share.try_spend(at(9_000)));
    assert!(share.try_spend(at(10_001)));
    // The share of each entry shrinks as their number grows.
    share.set_limits(window, 0.0, 100.0, Some(80));
    assert!(!share.try_spend(at(10_002)));
}

#[test]
fn splitter_returns_only_complete_events() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\n\r\nid: 3\nda";
    for step in 1..text.len() {
        let mut splitter = EventSplitter::new();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for part in text.chunks(step) {
            splitter.push(part);
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2)], "in parts of {step}");
        assert_eq!(bytes, text[..text.len() - 8], "in parts of {step}");
        assert!(splitter.is_partial());
    }
}

fn members(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|i| Arc::from(format!("replica-{i}"))).collect()
}

#[test]
fn rollout_turns_are_spread_evenly() {
    let members = members(6);
    let mut pauses = Vec::new();
    for me in &members {
        let rollout = RolloutTurn::new(b"matcher@2", &members, me);
        pauses.push(rollout.pauses_at(at(2_000), at(7_000)).as_millis());
    }
    pauses.sort_unstable();
    assert_eq!(pauses, [2_000, 3_000, 4_000, 5_000, 6_000, 7_000]);
}

#[test]
fn rollout_turn_is_never_after_the_bound() {
    let members = members(20);
    for me in &members {
        let rollout = RolloutTurn::new(b"matcher@2", &members, me);
        // The chunks arrive later than the bound allows.
        let pause = rollout.pauses_at(at(9_000), at(7_000));
        assert_eq!(pause, at(7_000));
    }
}

fn candidate(load: Load) -> Candidate {
    let latency = LatencyModel {
        entries: 1.0,
        slots: 16,
        tokens_per_ms: 20.0,
        usual_prompt: 1_000.0,
        slot_ms: 100.0,
    };
    Candidate {
        max_backlog_ms: 400.0,
        load,
        latency,
        near: true,
        queue: 2,
        offset: 0.0,
        link_delay_ms: 0.0,
        slowdown: 1.0,
    }
}

#[test]
fn replica_with_the_shortest_backlog_is_chosen() {
    let prefilling =
        Load { own_pending: 1, own_pending_tokens: 4_000, ..Load::default() };
    let decoding = Load { own_running: 6, ..Load::default() };
    let candidates = [candidate(prefilling), candidate(decoding)];
    assert_eq!(choose(&candidates), Some(1));
}

#[test]
fn full_replica_is_not_chosen() {
    let full = Load { own_running: 18, ..Load::default() };
    assert_eq!(choose(&[candidate(full)]), None);
    let last = Load { own_running: 17, ..Load::default() };
    assert_eq!(choose(&[candidate(full), candidate(last)]), Some(1));
}

#[test]
fn reported_load_excludes_own_requests() {
    let own = Load { own_pending: 2, own_running: 3, ..Load::default() };
    let load = own.with_report(5, 4);
    assert_eq!((load.others_pending, load.others_running), (3, 1));
    assert_eq!(load.total(), 9);
    assert_eq!(load.without_report().total(), 5);
}

#[test]
fn offset_decides_between_equal_replicas() {
    let mut preferred = candidate(Load::default());
    let mut other = candidate(Load::default());
    preferred.offset = 0.1;
    other.offset = 0.9;
    assert_eq!(choose(&[other, preferred]), Some(1));
    // The offset does not outweigh a pending prompt.
    preferred.load.own_pending = 1;
    preferred.load.own_pending_tokens = 2_000;
    assert_eq!(choose(&[other, preferred]), Some(0));
}

#[test]
fn only_a_range_of_all_layers_is_whole() {
    for (from, to, want) in
        [(0, 16, true), (0, 15, false), (1, 16, false), (0, 0, false)]
    {
        let range = LayerRange { from, to };
        assert_eq!(range.is_whole(16), want, "{range:?}");
    }
}

#[test]
fn only_estimates_are_replaced() {
    let mut targets = VersionTargets::default();
    targets.record(&target(2), at(9_000));
    targets.learn(&target(3), &heard(1_000, true));
    assert!(targets.has_estimates());
    let late = targets.learn(&target(2), &heard(9_500, false));
    assert!(!late.is_any(), "not an estimate");
    assert!(targets.learn(&target(3), &heard(8_000, false)).dated);
    assert!(!targets.learn(&target(3), &heard(8_500, false)).is_any());
    assert!(!targets.has_estimates());
    assert_eq!(targets.outdated_since("matcher", 2), Some(at(8_000)));
}

#[test]
fn replica_behind_a_congested_link_is_avoided() {
    let mut delayed = candidate(Load::default());
    delayed.link_delay_ms = 400.0;
    let busy = Load { own_running: 12, ..Load::default() };
    assert_eq!(choose(&[delayed, candidate(busy)]), Some(1));
}

#[test]
fn replica_that_reports_a_slowdown_is_avoided() {
    let mut slow = candidate(Load::default());
    slow.slowdown = 5.0;
    let busy = Load {
        own_pending: 2,
        own_pending_tokens: 3_000,
        own_running: 10,
        ..Load::default()
    };
    assert_eq!(choose(&[slow, candidate(busy)]), Some(1));
    // It is still chosen over a full replica.
    let full = Load { own_running: 18, ..Load::default() };
    assert_eq!(choose(&[slow, candidate(full)]), Some(0));
}

/// Guards against treating the rollout of a single version as one of two in
/// quick succession.
#[test]
fn targets_within_the_bound_of_each_other_are_a_succession() {
    let bound = Duration::from_millis(9_700);
    let at = Time::from_millis;
    let mut targets = VersionTargets::default();
    targets.record(&target(1), at(1_000));
    assert!(!targets.is_succession("matcher", bound));
    targets.record(&target(2), at(18_000));
    assert!(!targets.is_succession("matcher", bound));
    targets.record(&target(3), at(20_000));
    assert!(targets.is_succession("matcher", bound));
    assert!(!targets.is_succession("other", bound));
    let mut estimated = VersionTargets::default();
    estimated.learn(&target(1), &heard(17_000, true));
    estimated.record(&target(2), at(18_000));
    assert!(!estimated.is_succession("matcher", bound));
}
