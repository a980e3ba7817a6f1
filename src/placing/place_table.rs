//! The places that a placer has given to other entries.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// Identifies a place by the entry that asked for it and the number of its
/// question.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PlaceKey {
    /// The address of the entry that asked.
    pub requester: SocketAddr,
    /// The number that this entry gave the question.
    pub number: u64,
}

/// The places in use, each until its end is reported or its time expires.
///
/// Dropping a value of type `P` must release the place.
#[derive(Debug)]
pub struct PlaceTable<P> {
    places: HashMap<PlaceKey, Entry<P>>,
    /// The places removed without a report of their end.
    expired: u64,
}

#[derive(Debug)]
struct Entry<P> {
    place: P,
    given_at: Time,
    expires_at: Time,
}

impl<P> PlaceTable<P> {
    /// The age from which a replica's report includes a place that is still in
    /// use. The answer, the request and the report together take 20 ms on
    /// unloaded links and 200 ms on saturated ones.
    const REPORTED_AFTER: Duration = Duration::from_millis(400);

    /// Returns an empty table.
    pub fn new() -> PlaceTable<P> {
        PlaceTable { places: HashMap::new(), expired: 0 }
    }

    /// Inserts a place given at `now` for at most `left`. If the key is in
    /// use, returns the place to the caller, so that a duplicated question
    /// occupies only one place.
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
        let entry =
            Entry { place, given_at: now, expires_at: now.after(left) };
        self.places.insert(key, entry);
        None
    }

    /// Returns a place in use.
    pub fn get_mut(&mut self, key: &PlaceKey) -> Option<&mut P> {
        self.places.get_mut(key).map(|entry| &mut entry.place)
    }

    /// Removes a place whose request has ended.
    pub fn remove(&mut self, key: &PlaceKey) -> Option<P> {
        self.places.remove(key).map(|entry| entry.place)
    }

    /// Removes and returns the places whose time has expired because the
    /// report of their end was lost or the requester has stopped.
    pub fn remove_expired(&mut self, now: Time) -> Vec<P> {
        let expired = self.keys_of(|entry| entry.expires_at <= now);
        self.remove_all(expired)
    }

    /// Removes and returns places that the reports of their replicas do not
    /// include.
    ///
    /// `replica` returns the replica of a place, and `totals` contains the
    /// number of requests at each replica according to a recent report. If a
    /// replica has more places that a report must include than that, the
    /// oldest of them are removed.
    pub fn remove_unreported<K: Eq + Hash>(
        &mut self,
        now: Time,
        replica: impl Fn(&P) -> K,
        totals: &HashMap<K, u32>,
    ) -> Vec<P> {
        let mut old = self.keys_of(|entry| {
            now.since(entry.given_at) >= PlaceTable::<P>::REPORTED_AFTER
        });
        // The newest come first because the report may include these.
        old.sort_by_key(|(given_at, _)| std::cmp::Reverse(*given_at));
        let mut counts: HashMap<K, u32> = HashMap::new();
        old.retain(|(_, key)| {
            let name = replica(&self.places[key].place);
            let Some(total) = totals.get(&name) else { return false };
            let count = counts.entry(name).or_default();
            *count += 1;
            *count > *total
        });
        self.remove_all(old)
    }

    /// Returns how many places are in use, and how many were removed without a
    /// report of their end.
    pub fn counts(&self) -> (usize, u64) {
        (self.places.len(), self.expired)
    }

    fn keys_of(
        &self,
        predicate: impl Fn(&Entry<P>) -> bool,
    ) -> Vec<(Time, PlaceKey)> {
        let places = self.places.iter();
        let matching = places.filter(|(_, entry)| predicate(entry));
        matching.map(|(key, entry)| (entry.given_at, *key)).collect()
    }

    fn remove_all(&mut self, keys: Vec<(Time, PlaceKey)>) -> Vec<P> {
        self.expired += keys.len() as u64;
        let mut removed = Vec::with_capacity(keys.len());
        for (_, key) in keys {
            removed.extend(self.remove(&key));
        }
        removed
    }
}

impl<P> Default for PlaceTable<P> {
    fn default() -> PlaceTable<P> {
        PlaceTable::new()
    }
}
