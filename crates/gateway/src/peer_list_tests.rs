//! Tests for the entries of other halls that relay reports.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::direct::HallEntry;

use super::relays;

fn entry(hall: u8, number: u8) -> HallEntry {
    HallEntry {
        addr: SocketAddr::from(([10, hall, 0, number], 7_700)),
        hall: Arc::from(format!("z{hall}")),
    }
}

fn fleet(halls: u8, each: u8) -> Vec<HallEntry> {
    let mut all = Vec::new();
    for hall in 0..halls {
        for number in 0..each {
            all.push(entry(hall, number));
        }
    }
    all
}

/// Guards against reports whose copies on a link between halls grow with the
/// number of entries behind it.
#[test]
fn one_entry_of_each_other_hall_relays() {
    for each in [1, 5, 65] {
        let fleet = fleet(5, each);
        let own = entry(2, 0);
        let chosen = relays(&fleet, &own.hall, own.addr, 0);
        let halls: HashSet<_> = chosen.iter().map(|e| &e.hall).collect();
        assert_eq!((chosen.len(), halls.len()), (4, 4));
        assert!(!halls.contains(&own.hall));
    }
}

/// Guards against reports that one entry of a hall that has failed keeps from
/// the whole hall.
#[test]
fn entries_and_turns_choose_different_relays() {
    let fleet = fleet(2, 5);
    let mut by_entry = HashSet::new();
    for number in 0..20 {
        let own = entry(0, number);
        let chosen = relays(&fleet, &own.hall, own.addr, 0);
        by_entry.insert(chosen[0].addr);
    }
    assert_eq!(by_entry.len(), 5);
    let own = entry(0, 0);
    let mut by_turn = HashSet::new();
    for turn in 0..5 {
        by_turn.insert(relays(&fleet, &own.hall, own.addr, turn)[0].addr);
    }
    assert_eq!(by_turn.len(), 5);
}
