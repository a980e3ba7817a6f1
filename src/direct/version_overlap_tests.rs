//! What becomes of a version when the next one is named.

use std::time::Duration;

use super::VersionOverlap;
use crate::Time;

const TRANSFER: Duration = Duration::from_millis(2_600);
const BOUND: Duration = Duration::from_secs(10);

fn overlap(earlier: u64, later: u64) -> VersionOverlap {
    let at = Time::from_millis;
    VersionOverlap::new(at(earlier), at(later), TRANSFER, BOUND)
}

#[test]
fn a_version_that_has_hardly_begun_is_left_for_the_newer_one() {
    assert_eq!(overlap(18_000, 18_000).finish_until(), None);
    assert_eq!(overlap(18_000, 19_200).finish_until(), None);
}

#[test]
fn a_version_that_is_mostly_out_is_finished_while_that_helps() {
    // The earlier version is valid until the later one's bound is over.
    let end = |ms| Some(Time::from_millis(ms));
    assert_eq!(overlap(18_000, 19_300).finish_until(), end(27_800));
    assert_eq!(overlap(18_000, 20_000).finish_until(), end(28_500));
    let from = overlap(18_000, 20_000).reserve_from();
    assert_eq!(from, Time::from_millis(23_900));
}
