use std::time::Duration;

use stairhinge::Time;

use super::{Contact, WatchContent, WatchTimes};

const START: u64 = 100_000;

fn at(ms: u64) -> Time {
    Time::from_millis(START + ms)
}

fn watch(called: u64, wait: u64, answered: u64) -> WatchTimes {
    let wait = Duration::from_millis(wait);
    WatchTimes { called: at(called), wait, answered: at(answered) }
}

/// A contact whose last answer came at 1 s, `lag` after the end of its wait.
fn in_touch(lag: u64) -> Contact {
    let mut contact = Contact::default();
    let wait = 1_000 - lag;
    contact.record_watch(watch(0, wait, 1_000), WatchContent::Nothing);
    contact
}

#[test]
fn a_watch_that_waited_observes_a_change() {
    let contact = in_touch(2);
    let published =
        contact.published(watch(1_000, 800, 1_500), WatchContent::Small);
    assert_eq!(published.observed, Some(at(1_498)));
    assert_eq!(published.earliest, Some(at(998)));
}

#[test]
fn a_change_of_a_watch_that_did_not_wait_is_as_old_as_the_knowledge() {
    let contact = in_touch(2);
    let late = watch(2_000, 0, 2_010);
    let published = contact.published(late, WatchContent::Small);
    assert_eq!(published.observed, None);
    assert_eq!(published.earliest, Some(at(998)));
    // Shortly after the last answer the difference does not matter.
    let soon = watch(1_050, 800, 1_055);
    let published = contact.published(soon, WatchContent::Small);
    assert_eq!(published.observed, Some(at(998)));
}

#[test]
fn a_slow_answer_is_not_taken_for_a_wait() {
    let contact = in_touch(400);
    let published =
        contact.published(watch(1_000, 800, 1_450), WatchContent::Small);
    assert_eq!(published.observed, Some(at(600)));
    let published =
        contact.published(watch(1_000, 800, 1_600), WatchContent::Small);
    assert_eq!(published.observed, Some(at(1_200)));
}

#[test]
fn a_long_transfer_is_not_taken_for_a_wait() {
    let mut contact = in_touch(2);
    let document = watch(1_000, 800, 1_700);
    let published = contact.published(document, WatchContent::Large);
    assert_eq!(published.observed, None);
    // Nor is what was published meanwhile taken for new.
    contact.record_watch(document, WatchContent::Large);
    let published =
        contact.published(watch(1_700, 800, 1_710), WatchContent::Small);
    assert_eq!(published.observed, None);
    assert_eq!(published.earliest, Some(at(1_000)));
}

#[test]
fn a_watch_after_a_loss_of_contact_does_not_continue() {
    let pace = Duration::from_millis(100);
    assert!(!Contact::default().continues(at(0), pace));
    let contact = in_touch(2);
    assert!(contact.continues(at(1_250), pace));
    assert!(!contact.continues(at(1_400), pace));
}
