//! The places that a placer has given to other entries.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// Names a place: who asked, and the number of the question.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PlaceKey {
    /// The asker.
    pub requester: SocketAddr,
    /// Its number for the question.
    pub number: u64,
}

/// Places that are out, each until its end is told or its time is over.
///
/// `P` is what frees the place when it is dropped.
#[derive(Debug)]
pub struct PlaceTable<P> {
    places: HashMap<PlaceKey, Out<P>>,
    expired: u64,
}

#[derive(Debug)]
struct Out<P> {
    place: P,
    given: Time,
    until: Time,
}

impl<P> PlaceTable<P> {
    /// The age from which on a report shows a place that is still taken:
    /// the answer, the request and the report are on their way for 20 ms on
    /// good links and 200 ms on full ones.
    const SHOWN_AFTER: Duration = Duration::from_millis(400);

    /// Returns a table without places.
    pub fn new() -> PlaceTable<P> {
        PlaceTable { places: HashMap::new(), expired: 0 }
    }

    /// Takes in a place given at `now` for at most `left`. A second one of
    /// the same key is handed back, so that a doubled question takes one
    /// place.
    pub fn insert(
        &mut self,
        key: PlaceKey,
        place: P,
        now: Time,
        left: Duration,
    ) -> Option<P> {
        if self.places.contains_key(&key) {
            return Some(place);
        }
        let out = Out { place, given: now, until: now.after(left) };
        self.places.insert(key, out);
        None
    }

    /// Returns a place that is out.
    pub fn get_mut(&mut self, key: &PlaceKey) -> Option<&mut P> {
        self.places.get_mut(key).map(|out| &mut out.place)
    }

    /// Takes a place out at its end.
    pub fn remove(&mut self, key: &PlaceKey) -> Option<P> {
        self.places.remove(key).map(|out| out.place)
    }

    /// Takes the places out whose time is over: their ends were lost, or
    /// their askers are gone.
    pub fn remove_expired(&mut self, now: Time) -> Vec<P> {
        let over = self.keys_of(|out| out.until <= now);
        self.take(over)
    }

    /// Takes places out that reports do not show: `totals` says how many
    /// requests are at a replica by a recent report, and `replica` names the
    /// replica of a place. Of more old places than that the oldest are over.
    pub fn remove_unreported<K: Eq + Hash>(
        &mut self,
        now: Time,
        replica: impl Fn(&P) -> K,
        totals: &HashMap<K, u32>,
    ) -> Vec<P> {
        let mut old = self.keys_of(|out| {
            now.since(out.given) >= PlaceTable::<P>::SHOWN_AFTER
        });
        // The newest first: those that the report may show.
        old.sort_by_key(|(given, _)| std::cmp::Reverse(*given));
        let mut shown: HashMap<K, u32> = HashMap::new();
        old.retain(|(_, key)| {
            let name = replica(&self.places[key].place);
            let Some(total) = totals.get(&name) else { return false };
            let count = shown.entry(name).or_default();
            *count += 1;
            *count > *total
        });
        self.take(old)
    }

    /// Returns how many places are out, and how many were taken back without
    /// a word of their end.
    pub fn counts(&self) -> (usize, u64) {
        (self.places.len(), self.expired)
    }

    fn keys_of(
        &self,
        chosen: impl Fn(&Out<P>) -> bool,
    ) -> Vec<(Time, PlaceKey)> {
        let places = self.places.iter();
        let chosen = places.filter(|(_, out)| chosen(out));
        chosen.map(|(key, out)| (out.given, *key)).collect()
    }

    fn take(&mut self, keys: Vec<(Time, PlaceKey)>) -> Vec<P> {
        self.expired += keys.len() as u64;
        let mut taken = Vec::with_capacity(keys.len());
        for (_, key) in keys {
            taken.extend(self.remove(&key));
        }
        taken
    }
}

impl<P> Default for PlaceTable<P> {
    fn default() -> PlaceTable<P> {
        PlaceTable::new()
    }
}
