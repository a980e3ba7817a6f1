//! Tests of what the absence of a replica from the list proves.

use std::ops::Range;
use std::time::Duration;

use proptest::prelude::*;

use super::{Absence, AnsweredSpan, ListReads};
use crate::Time;

const GRACE: Duration = Duration::from_millis(2_400);
const PACE: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Returns the reads of a process that was answered from 0 to 10 s.
fn sound() -> ListReads {
    let mut reads = ListReads::new(GRACE, PACE);
    for ms in (0..10_000).step_by(500) {
        reads.record_answer(at(ms), at(ms + 400));
    }
    reads
}

/// Returns a span that began with the start of a process.
fn started(since: u64, until: u64) -> AnsweredSpan {
    AnsweredSpan { since: at(since), until: at(until), failed: None }
}

/// Returns a span that began 100 ms after a failure.
fn span(failed: u64, until: u64) -> AnsweredSpan {
    let since = at(failed + 100);
    AnsweredSpan { since, until: at(until), failed: Some(at(failed)) }
}

fn is_gone(reads: &ListReads) -> bool {
    reads.absence() == Absence::Gone
}

/// One line of the table in the module's documentation.
struct Line {
    what: &'static str,
    /// Own reads after 10 s without a failure: those that failed, those that
    /// were answered.
    failed: &'static [u64],
    answered: &'static [u64],
    /// The list of another process, taken last.
    relayed: Option<AnsweredSpan>,
    gone: bool,
}

#[test]
fn the_table_holds() {
    let lines = [
        Line {
            what: "own reads, none failed",
            failed: &[],
            answered: &[10_000],
            relayed: None,
            gone: true,
        },
        Line {
            what: "own reads, failed for a while",
            failed: &[10_000],
            answered: &[10_400],
            relayed: None,
            gone: false,
        },
        Line {
            what: "own reads, answered for the grace period again",
            failed: &[10_000],
            answered: &[11_000, 12_000, 13_400],
            relayed: None,
            gone: true,
        },
        Line {
            what: "own reads, none for longer than the grace period",
            failed: &[],
            answered: &[13_000],
            relayed: None,
            gone: false,
        },
        Line {
            what: "another process was answered all the while",
            failed: &[10_000, 11_000],
            answered: &[],
            relayed: Some(started(2_000, 11_000)),
            gone: true,
        },
        Line {
            what: "another process was answered for the grace period",
            failed: &[10_000],
            answered: &[],
            relayed: Some(span(10_100, 12_600)),
            gone: true,
        },
        Line {
            what: "another process failed while this one was answered",
            failed: &[],
            answered: &[],
            relayed: Some(span(9_700, 10_200)),
            gone: true,
        },
        Line {
            what: "another process failed later",
            failed: &[],
            answered: &[],
            relayed: Some(span(10_200, 10_400)),
            gone: false,
        },
        Line {
            what: "another process failed before the last answer, \
                   and was answered again after it",
            failed: &[],
            answered: &[],
            relayed: Some(AnsweredSpan {
                since: at(10_100),
                until: at(10_900),
                failed: Some(at(9_700)),
            }),
            gone: true,
        },
        Line {
            what: "another process has started before the last answer",
            failed: &[],
            answered: &[],
            relayed: Some(started(9_800, 10_400)),
            gone: true,
        },
        Line {
            what: "another process has started after the last answer",
            failed: &[],
            answered: &[],
            relayed: Some(started(10_200, 10_400)),
            gone: false,
        },
    ];
    for line in lines {
        let mut reads = sound();
        for ms in line.failed {
            reads.record_failure(at(*ms));
        }
        for ms in line.answered {
            reads.record_answer(at(*ms), at(*ms));
        }
        if let Some(span) = line.relayed {
            reads.record_relayed(span);
        }
        assert_eq!(is_gone(&reads), line.gone, "{}", line.what);
    }
}

#[test]
fn a_call_that_fails_between_answers_is_no_outage() {
    let mut reads = sound();
    reads.record_failure(at(10_000));
    assert!(reads.has_just_failed());
    reads.record_answer(at(10_100), at(10_110));
    assert!(is_gone(&reads) && !reads.has_just_failed());
    for ms in [10_500, 10_600, 10_800] {
        reads.record_failure(at(ms));
    }
    assert!(!reads.has_just_failed());
    reads.record_answer(at(10_810), at(10_820));
    assert!(!is_gone(&reads), "it failed for longer");
}

#[test]
fn a_failure_that_another_process_vouches_for_is_over() {
    let mut reads = sound();
    reads.record_failure(at(10_000));
    reads.record_relayed(started(0, 10_300));
    reads.record_answer(at(10_400), at(10_500));
    assert!(is_gone(&reads), "its own link had failed");
}

/// Guards against a replica that is used after it has gone because another
/// process failed between two reads of a process that the platform answers.
#[test]
fn an_own_answer_settles_what_another_failure_put_in_doubt() {
    let trouble = span(10_200, 10_400);
    let mut reads = sound();
    reads.record_relayed(trouble);
    assert!(!is_gone(&reads) && reads.is_settled_by_answer(at(10_500)));
    reads.record_answer(at(10_500), at(10_510));
    assert!(is_gone(&reads));
    // What the same process tells later is no news.
    reads.record_relayed(AnsweredSpan { until: at(10_600), ..trouble });
    assert!(is_gone(&reads));
}

#[test]
fn an_own_answer_settles_nothing_if_the_platform_may_have_been_away() {
    let mut late = sound();
    late.record_relayed(span(10_200, 11_400));
    assert!(!late.is_settled_by_answer(at(11_600)));
    late.record_answer(at(11_600), at(11_600));
    assert!(!is_gone(&late));
    let mut failed = sound();
    failed.record_failure(at(10_000));
    failed.record_relayed(span(10_200, 10_400));
    assert!(!failed.is_settled_by_answer(at(10_500)));
    failed.record_failure(at(10_450));
    failed.record_answer(at(10_500), at(10_500));
    assert!(!is_gone(&failed));
}

/// Guards against a doubt that a later answer of a third process can't end.
#[test]
fn another_process_settles_what_a_failure_put_in_doubt() {
    let mut reads = sound();
    reads.record_relayed(span(10_200, 10_400));
    reads.record_relayed(AnsweredSpan {
        since: at(9_400),
        until: at(10_500),
        failed: Some(at(9_300)),
    });
    assert!(is_gone(&reads));
}

#[test]
fn a_process_that_starts_while_the_platform_is_away_is_in_doubt() {
    let mut reads = ListReads::new(GRACE, PACE);
    reads.record_failure(at(0));
    reads.record_answer(at(400), at(500));
    assert!(!is_gone(&reads));
    let mut relayed = ListReads::new(GRACE, PACE);
    relayed.record_failure(at(0));
    relayed.record_relayed(started(100, 200));
    assert!(!is_gone(&relayed));
    let mut first = ListReads::new(GRACE, PACE);
    first.record_answer(at(0), at(100));
    assert!(is_gone(&first));
}

/// Guards against a doubt without an end while failures come again and again.
#[test]
fn a_doubt_ends_although_failures_go_on() {
    let mut reads = sound();
    reads.record_failure(at(9_910));
    reads.record_answer(at(10_250), at(10_250));
    let Absence::Doubtful(since) = reads.absence() else { panic!("gone") };
    let mut now = 10_250;
    while reads.settled().is_none_or(|begun| begun < since) {
        assert!(now < 20_000, "never");
        // Answered for 800 ms, failed for 400 ms.
        reads.record_answer(at(now), at(now + 800));
        reads.record_failure(at(now + 900));
        now += 1_300;
        assert!(reads.absence() != Absence::Gone);
    }
    assert!(now > 10_250 + 2 * 2_400, "too early: {now}");
}

#[test]
fn time_without_answers_ends_no_doubt() {
    let mut reads = sound();
    reads.record_failure(at(9_910));
    reads.record_answer(at(10_250), at(10_250));
    let Absence::Doubtful(since) = reads.absence() else { panic!("gone") };
    for ms in (10_200..60_000).step_by(500) {
        reads.record_failure(at(ms));
    }
    reads.record_answer(at(60_000), at(60_000));
    assert!(reads.settled().is_none_or(|begun| begun < since));
}

/// The time between two steps of a simulated process.
const STEP_MS: u64 = 100;

/// Processes that read one platform, and one another.
#[derive(Clone, Debug)]
struct World {
    /// When the platform is away, from and to.
    away: Option<(u64, u64)>,
    /// When the link of each process to the platform is cut, from and to.
    cuts: Vec<(u64, u64)>,
    /// When each process starts.
    starts: Vec<u64>,
    /// For each step and process, whom it asks; itself for the platform.
    asks: Vec<Vec<usize>>,
}

const PROCESSES: usize = 3;
const STEPS: usize = 160;

fn within(span: (u64, u64), ms: u64) -> bool {
    span.0 <= ms && ms < span.1
}

impl World {
    fn answers(&self, process: usize, ms: u64) -> bool {
        let away = self.away.is_some_and(|away| within(away, ms));
        !away && !within(self.cuts[process], ms)
    }

    /// Plays the world and calls `check` with each process that has taken a
    /// list, and the time.
    fn play(&self, mut check: impl FnMut(usize, u64, &ListReads)) {
        let mut all = vec![ListReads::new(GRACE, PACE); PROCESSES];
        for (step, asks) in self.asks.iter().enumerate() {
            let ms = step as u64 * STEP_MS;
            let before = all.clone();
            for (process, asked) in asks.iter().enumerate() {
                if ms < self.starts[process] {
                    continue;
                }
                // A list that is too old is not taken; the platform is read
                // then.
                let reads = &mut all[process];
                let itself =
                    *asked == process || reads.is_settled_by_answer(at(ms));
                let relayed = before[*asked].span().filter(|span| {
                    !itself && at(ms).since(span.until).as_millis() < 1_200
                });
                match relayed {
                    Some(span) => reads.record_relayed(span),
                    None if self.answers(process, ms) => {
                        reads.record_answer(at(ms), at(ms));
                    }
                    None => {
                        reads.record_failure(at(ms));
                        continue;
                    }
                }
                check(process, ms, reads);
            }
        }
    }
}

fn any_span(long: Range<u64>) -> impl Strategy<Value = (u64, u64)> {
    (0..16_000_u64, long).prop_map(|(from, long)| (from, from + long))
}

fn any_world(away: bool) -> impl Strategy<Value = World> {
    let cuts = prop::collection::vec(any_span(300..6_000), PROCESSES);
    let starts = prop::collection::vec(0..8_000_u64, PROCESSES);
    let step = prop::collection::vec(0..PROCESSES, PROCESSES);
    let asks = prop::collection::vec(step, STEPS);
    let away = if away {
        // An entry is renewed at each heartbeat, so that a shorter time does
        // not make it lapse.
        any_span(1_400..8_000).prop_map(Some).boxed()
    } else {
        Just(None).boxed()
    };
    (away, cuts, starts, asks).prop_map(|(away, cuts, starts, asks)| World {
        away,
        cuts,
        starts,
        asks,
    })
}

proptest! {
    /// Guards against a service that is emptied because entries lapsed while
    /// the platform was away: each process that was in contact before has to
    /// doubt what is missing until 2 s after the platform's return.
    #[test]
    fn a_lapsed_entry_is_in_doubt_until_it_may_be_back(
        world in any_world(true),
    ) {
        let (from, to) = world.away.unwrap();
        let mut before = [false; PROCESSES];
        let mut wrong = None;
        world.play(|process, ms, reads| {
            let until = reads.span().unwrap().until;
            if until < at(from) {
                before[process] = true;
            }
            let lapsed = until >= at(to) && ms < to + 2_000;
            if lapsed && before[process] && is_gone(reads) {
                wrong = Some((process, ms));
            }
        });
        prop_assert_eq!(wrong, None);
    }

    /// Guards against a replica that is used after it has gone, because the
    /// platform failed another process.
    #[test]
    fn a_process_that_the_platform_answers_knows_what_has_gone(
        mut world in any_world(false),
        served in 0..PROCESSES,
    ) {
        world.cuts[served] = (0, 0);
        world.starts[served] = 0;
        for asks in &mut world.asks {
            asks[served] = served;
        }
        let mut wrong = None;
        world.play(|process, ms, reads| {
            if process == served && !is_gone(reads) {
                wrong = Some(ms);
            }
        });
        prop_assert_eq!(wrong, None);
    }

    /// The same for a process that takes lists of all others too, or leaves the
    /// reading to them: a doubt ends with its next own read.
    #[test]
    fn a_process_that_may_read_knows_what_has_gone(
        mut world in any_world(false),
        served in 0..PROCESSES,
    ) {
        world.cuts[served] = (0, 0);
        world.starts[served] = 0;
        let mut doubtful = 0;
        let mut wrong = None;
        world.play(|process, ms, reads| {
            if process != served {
                return;
            }
            doubtful = if is_gone(reads) { 0 } else { doubtful + 1 };
            if doubtful > 1 {
                wrong = Some(ms);
            }
        });
        prop_assert_eq!(wrong, None);
    }

    /// The same for a process that reads through others, whether or not the
    /// platform answers it too.
    #[test]
    fn a_process_that_follows_a_sound_one_knows_what_has_gone(
        mut world in any_world(false),
        served in 0..PROCESSES,
        other in 1..PROCESSES,
    ) {
        let follower = (served + other) % PROCESSES;
        world.cuts[served] = (0, 0);
        world.starts[served] = 0;
        for asks in &mut world.asks {
            asks[served] = served;
            asks[follower] = served;
        }
        let mut wrong = None;
        world.play(|process, ms, reads| {
            // The one that is followed has been answered for long enough.
            let long = ms >= GRACE.as_millis() as u64 + STEP_MS;
            if process == follower && long && !is_gone(reads) {
                wrong = Some(ms);
            }
        });
        prop_assert_eq!(wrong, None);
    }
}
