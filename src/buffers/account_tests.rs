//! Tests for the account of buffered bytes, which play slow and usual readers
//! in virtual time.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{
    BufferAccount, BufferBounds, BufferLimit, BufferUse, HolderId, Room,
};
use crate::{Code, Time};

const KB: u64 = 1024;
const UNREAD: Duration = Duration::from_secs(8);

fn bounds() -> BufferBounds {
    BufferBounds::new(128 * KB, 1_024 * KB, 4_096 * KB, UNREAD).unwrap()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn answer(account: &mut BufferAccount, workspace: &str) -> HolderId {
    account.open(BufferUse::Answer, Some(Arc::from(workspace)), at(0))
}

/// Fills a holder up to its bounds, and returns the bound that stopped it.
fn fill(account: &mut BufferAccount, id: HolderId, now: Time) -> BufferLimit {
    loop {
        if let Room::Wait(limit) = account.take(id, 8 * KB, now) {
            return limit;
        }
    }
}

#[test]
fn bounds_that_contradict_each_other_are_refused() {
    for (connection, workspace, process, unread_ms) in [
        (63 * KB, 1_024 * KB, 4_096 * KB, 8_000),
        (128 * KB, 127 * KB, 4_096 * KB, 8_000),
        (128 * KB, 1_024 * KB, 1_023 * KB, 8_000),
        (128 * KB, 1_024 * KB, 4_096 * KB, 99),
    ] {
        let unread = Duration::from_millis(unread_ms);
        let made = BufferBounds::new(connection, workspace, process, unread);
        assert_eq!(made.unwrap_err().code(), Code::OutOfRange);
    }
}

/// Guards against one answer that takes all memory because its caller reads
/// slowly.
#[test]
fn the_sender_of_an_unread_answer_waits() {
    let mut account = BufferAccount::new(bounds());
    let id = answer(&mut account, "a");
    assert_eq!(fill(&mut account, id, at(0)), BufferLimit::Connection);
    assert_eq!(account.held(id), 128 * KB);
    account.release(id, 8 * KB, at(10));
    assert_eq!(account.take(id, 8 * KB, at(10)), Room::Admitted);
    account.close(id);
    assert_eq!(account.total(), 0);
}

/// Guards against slow callers of one workspace that take the buffers of all,
/// and against usual callers that wait for slow ones.
#[test]
fn usual_callers_have_room_beside_slow_ones() {
    let mut account = BufferAccount::new(bounds());
    for _ in 0..100 {
        let id = answer(&mut account, "slow");
        fill(&mut account, id, at(0));
    }
    let slow = account.of_workspace(&Arc::from("slow"));
    // What is above the bound of the workspace are floors.
    assert!(slow <= 1_024 * KB + 100 * BufferBounds::FLOOR, "{slow}");
    for i in 0..100 {
        let id = answer(&mut account, ["slow", "usual"][i % 2]);
        let room = account.take(id, BufferBounds::FLOOR, at(1));
        assert_eq!(room, Room::Admitted, "caller {i}");
        account.release(id, BufferBounds::FLOOR, at(2));
        account.close(id);
    }
    assert!(account.total() <= bounds().process());
}

/// Guards against a process that nears its memory limit because very many
/// callers read slowly.
#[test]
fn the_process_stays_within_its_bound() {
    let mut account = BufferAccount::new(bounds());
    for i in 0..1_000 {
        let id = answer(&mut account, &format!("w{i}"));
        fill(&mut account, id, at(0));
        assert!(account.total() <= bounds().process(), "{i}");
    }
    // Short of buffers, callers that read nothing are cut sooner.
    let early = at(0).after(UNREAD / 4);
    let cut = account.unread(early);
    assert!(cut.len() >= 24, "{}", cut.len());
    for id in cut {
        account.close(id);
    }
    let id = answer(&mut account, "next");
    assert_eq!(account.take(id, 8 * KB, early), Room::Admitted);
}

/// Guards against cutting a caller that reads slowly but steadily, and against
/// keeping one that reads nothing.
#[test]
fn only_a_caller_that_reads_nothing_is_cut() {
    let mut account = BufferAccount::new(bounds());
    let (slow, stuck) = (answer(&mut account, "a"), answer(&mut account, "a"));
    for id in [slow, stuck] {
        fill(&mut account, id, at(0));
    }
    let mut cut_at = None;
    for ms in (0..60_000).step_by(500) {
        if ms % 5_000 == 0 && account.held(slow) > 0 {
            account.release(slow, 8 * KB, at(ms));
        }
        for id in account.unread(at(ms)) {
            assert_eq!(id, stuck, "{ms} ms");
            cut_at.get_or_insert(ms);
            account.close(id);
        }
    }
    assert_eq!(cut_at, Some(UNREAD.as_millis() as u64));
}

/// Guards against cutting a caller whose answer has long pauses of its replica
/// and that has read all that there is.
#[test]
fn a_caller_without_unread_bytes_is_never_cut() {
    let mut account = BufferAccount::new(bounds());
    let id = answer(&mut account, "a");
    account.take(id, KB, at(0));
    account.release(id, KB, at(1));
    assert!(account.unread(at(1_000_000)).is_empty());
    // The time counts from when there is something to read.
    account.take(id, KB, at(1_000_000));
    assert!(account.unread(at(1_000_001)).is_empty());
    let body = account.open(BufferUse::Request, None, at(1_000_001));
    account.take(body, KB, at(1_000_001));
    let mut cut = Vec::new();
    for ms in (1_000_001..1_060_000).step_by(500) {
        cut.extend(account.unread(at(ms)));
    }
    assert!(cut.contains(&id) && !cut.contains(&body));
}

/// Guards against cutting all callers of a process that was stopped for longer
/// than callers may read nothing.
#[test]
fn a_process_that_was_stopped_cuts_nobody_for_that() {
    let mut account = BufferAccount::new(bounds());
    let id = answer(&mut account, "a");
    fill(&mut account, id, at(0));
    assert!(account.unread(at(500)).is_empty());
    let awake = at(500).after(UNREAD * 2);
    assert!(account.unread(awake).is_empty());
    assert!(account.unread(awake.after(UNREAD / 5)).is_empty());
    let mut cut = Vec::new();
    for ms in (0..=8_000).step_by(500) {
        let now = awake.after(UNREAD / 5 + Duration::from_millis(ms));
        cut.extend(account.unread(now));
    }
    assert!(cut.contains(&id));
}

/// Guards against large request bodies that take the room of answers.
#[test]
fn request_bodies_are_bounded_by_workspace_and_process() {
    let mut account = BufferAccount::new(bounds());
    let workspace = Some(Arc::from("a"));
    let id = account.open(BufferUse::Request, workspace, at(0));
    assert_eq!(fill(&mut account, id, at(0)), BufferLimit::Workspace);
    assert_eq!(account.held(id), 1_024 * KB);
    let id = account.open(BufferUse::Request, None, at(0));
    assert_eq!(fill(&mut account, id, at(0)), BufferLimit::Process);
    assert!(account.total() <= bounds().shared());
}

proptest! {
    /// Guards against bytes that are counted twice or never released.
    #[test]
    fn the_sums_agree(
        steps in proptest::collection::vec(
            (0..6_usize, 0..4_u8, 1..40_000_u64), 1..200),
    ) {
        let mut account = BufferAccount::new(bounds());
        let mut open: Vec<(HolderId, u64)> = Vec::new();
        for (index, step, bytes) in steps {
            let workspace = (index % 3 > 0).then(|| {
                Arc::from(format!("w{}", index % 3))
            });
            if step == 0 || open.is_empty() {
                let kind = [BufferUse::Answer, BufferUse::Request][index % 2];
                open.push((account.open(kind, workspace, at(0)), 0));
                continue;
            }
            let slot = index % open.len();
            let (id, held) = &mut open[slot];
            match step {
                1 => {
                    if account.take(*id, bytes, at(0)) == Room::Admitted {
                        *held += bytes;
                    }
                }
                2 => {
                    let bytes = bytes.min(*held);
                    account.release(*id, bytes, at(0));
                    *held -= bytes;
                }
                _ => {
                    account.close(*id);
                    open.remove(slot);
                }
            }
            let sum: u64 = open.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(account.total(), sum);
            prop_assert!(sum <= bounds().process());
        }
        for (id, _) in open {
            account.close(id);
        }
        prop_assert_eq!(account.total(), 0);
        for name in ["w1", "w2"] {
            prop_assert_eq!(account.of_workspace(&Arc::from(name)), 0);
        }
    }
}
