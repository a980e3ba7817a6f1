//! The calendar of times at which refused callers may return.
//!
//! A caller is told to return at a time at which capacity is expected to be
//! left. No more callers are told so than fit. A promise is soft state: it
//! reserves no place, and expires with its slot.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// A caller that was given a return time.
#[derive(Clone, Debug, PartialEq)]
pub struct Returning {
    /// Its urgency.
    pub urgency: (u8, u8),
    /// Its workspace.
    pub workspace: Option<Arc<str>>,
    /// The time that it has left, in milliseconds.
    pub left_ms: u32,
    /// Its work.
    pub work: f64,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    work: f64,
    /// The expected callers, with the time that they will have left.
    expected: Vec<Returning>,
}

/// The promised return times of one service.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    slots: BTreeMap<u64, Slot>,
    len: usize,
}

impl Calendar {
    /// The length of a slot, in milliseconds.
    pub const SLOT_MS: u64 = 100;

    /// The part of the time left within which callers return.
    const HORIZON_DIVISOR: u32 = 3;

    /// The furthest slot ahead. The demand of the next seconds is not known
    /// for longer.
    const MAX_AHEAD: u64 = 100;

    /// The first slot ahead that is given, since the refusal and the new
    /// connection take some time.
    const MIN_AHEAD: u64 = 2;

    /// The maximum number of promises, which bounds the memory.
    const MAX_PROMISES: usize = 4_096;

    /// The maximum deviation between the expected and the actual time left of
    /// a caller that returns as told, in milliseconds: one slot for the way
    /// to the caller and back.
    const LEFT_TOLERANCE_MS: u32 = 100;

    /// Promises a return time from spare work of `spare_per_s`. Returns the
    /// time until then, or `None` if no slot has room. `jitter` is a random
    /// number from 0 to 1.
    pub fn promise(
        &mut self,
        caller: Returning,
        spare_per_s: f64,
        now: Time,
        jitter: f64,
    ) -> Option<Duration> {
        self.expire(now);
        if spare_per_s <= 0.0 || self.len >= Calendar::MAX_PROMISES {
            return None;
        }
        let current = now.as_millis() / Calendar::SLOT_MS;
        let horizon = u64::from(caller.left_ms / Calendar::HORIZON_DIVISOR);
        let ahead = (horizon / Calendar::SLOT_MS).min(Calendar::MAX_AHEAD);
        let per_slot = spare_per_s * Calendar::SLOT_MS as f64 / 1_000.0;
        let number = self.slot_with_room(
            current,
            current + ahead,
            per_slot,
            caller.work,
        )?;
        let offset = jitter.clamp(0.0, 1.0) * (Calendar::SLOT_MS - 1) as f64;
        let at = Time::from_millis(number * Calendar::SLOT_MS + offset as u64);
        let delay = at.since(now);
        let left_ms = caller.left_ms.saturating_sub(delay.as_millis() as u32);
        let slot = self.slots.entry(number).or_default();
        slot.work += caller.work;
        slot.expected.push(Returning { left_ms, ..caller });
        self.len += 1;
        Some(delay)
    }

    /// Returns the first slot in which work fits. What fits into a slot is
    /// what all slots up to it have room for, since the work of one request
    /// may exceed that of a slot.
    fn slot_with_room(
        &self,
        current: u64,
        last: u64,
        per_slot: f64,
        work: f64,
    ) -> Option<u64> {
        let mut found = None;
        let mut promised: f64 =
            self.slots.range(..current).map(|(_, s)| s.work).sum();
        let furthest = self.slots.keys().next_back().copied();
        for number in current..=furthest.unwrap_or(last).max(last) {
            promised += self.slots.get(&number).map_or(0.0, |s| s.work);
            let room = per_slot * (number + 1 - current) as f64;
            if promised + work > room {
                // The promises up to here need the room of earlier slots.
                found = None;
                continue;
            }
            let allowed =
                number >= current + Calendar::MIN_AHEAD && number <= last;
            if found.is_none() && allowed {
                found = Some(number);
            }
        }
        found
    }

    /// Returns whether a caller that arrives at `now` returns as it was told,
    /// and removes its promise.
    pub fn take_up(&mut self, caller: &Returning, now: Time) -> bool {
        self.expire(now);
        let current = now.as_millis() / Calendar::SLOT_MS;
        for number in current.saturating_sub(1)..=current + 1 {
            let Some(slot) = self.slots.get_mut(&number) else { continue };
            let found = slot.expected.iter().position(|expected| {
                expected.urgency == caller.urgency
                    && expected.workspace == caller.workspace
                    && expected.left_ms.abs_diff(caller.left_ms)
                        <= Calendar::LEFT_TOLERANCE_MS
            });
            let Some(found) = found else { continue };
            let taken = slot.expected.swap_remove(found);
            slot.work = (slot.work - taken.work).max(0.0);
            self.len -= 1;
            return true;
        }
        false
    }

    /// Drops the promises whose slot ended more than one slot ago.
    fn expire(&mut self, now: Time) {
        let current = now.as_millis() / Calendar::SLOT_MS;
        let kept = self.slots.split_off(&current.saturating_sub(1));
        for slot in self.slots.values() {
            self.len -= slot.expected.len();
        }
        self.slots = kept;
    }

    /// Returns the number of promises.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no promises.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
