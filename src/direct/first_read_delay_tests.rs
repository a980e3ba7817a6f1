use std::time::Duration;

use super::FirstReadDelay;

/// When entries hear of their neighbours, in milliseconds.
const HEARD: Duration = Duration::from_millis(500);

/// Returns when each of so many processes reads.
fn reads(
    count: u32,
    when: impl Fn(FirstReadDelay) -> Duration,
) -> impl Iterator<Item = Duration> {
    let part = move |i| f64::from(i) / f64::from(count);
    (0..count).map(move |i| when(FirstReadDelay::new(part(i))))
}

#[test]
fn few_of_a_large_hall_read_before_they_know_their_neighbours() {
    let entries = reads(40, |r| r.for_entry(200)).filter(|at| *at < HEARD);
    let agents = reads(40, |r| r.for_agent(200)).filter(|at| *at < HEARD);
    // 260 KB each over 26 Mbit/s: 0.8 s in place of 6.4 s.
    assert!(entries.count() + agents.count() <= 11);
}

#[test]
fn nobody_of_a_small_fleet_waits_long() {
    assert!(reads(9, |r| r.for_entry(20)).all(|at| at <= HEARD));
    let most = Duration::from_millis(600);
    assert!(reads(12, |r| r.for_agent(20)).all(|at| at <= most));
}

#[test]
fn everybody_reads_in_the_end_though_nothing_is_known() {
    let most = Duration::from_secs(7);
    assert!(reads(40, |r| r.for_entry(0)).all(|at| at <= most));
    assert!(reads(40, |r| r.for_agent(0)).all(|at| at <= most));
    assert!(reads(40, |r| r.for_agent(100_000)).all(|at| at <= most));
}
