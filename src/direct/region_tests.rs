use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{AllowedRegions, EvacuationBound, Evacuations, HallRegions};
use crate::Time;

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().map(|n| Arc::from(*n)).collect())
}

#[test]
fn where_both_name_regions_both_bind() {
    let route = regions(&["east", "north"]);
    let workspace = regions(&["north", "west"]);
    let both = route.intersection(&workspace);
    assert!(both.allows(Some("north")));
    for region in ["east", "west", "south"] {
        assert!(!both.allows(Some(region)), "{region}");
    }
    let none = regions(&["east"]).intersection(&regions(&["west"]));
    assert!(none.is_restricted() && !none.allows(Some("east")));
    let any = AllowedRegions::default();
    assert_eq!(any.intersection(&route), route);
    assert_eq!(route.intersection(&any), route);
}

#[test]
fn without_a_bound_any_region_will_do_and_with_one_only_known_ones() {
    let any = regions(&[]);
    assert!(
        !any.is_restricted() && any.allows(None) && any.allows(Some("east"))
    );
    assert!(!regions(&["east"]).allows(None));
    let halls: HallRegions =
        [(Arc::from("hall-a"), Arc::from("east"))].into_iter().collect();
    assert_eq!(halls.region("hall-a"), Some("east"));
    assert_eq!((halls.region("hall-b"), halls.hall_count()), (None, Some(1)));
}

#[test]
fn an_evacuated_hall_is_emptied_over_a_part_of_the_bound() {
    let bound = EvacuationBound::new(Duration::from_secs(5));
    let since = Time::from_millis(10_000);
    let room = |ms: u64| {
        bound.capacity_fraction(since, Time::from_millis(10_000 + ms))
    };
    assert_eq!(room(0), 1.0);
    assert!((0.4..0.6).contains(&room(1_500)), "{}", room(1_500));
    // What is sent last has time to arrive.
    assert_eq!(room(3_500), 0.0);
    assert_eq!(room(60_000), 0.0);
}

#[test]
fn an_evacuation_told_again_begins_no_later() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin("a".into(), Time::from_millis(5)));
    assert!(!evacuations.begin("a".into(), Time::from_millis(9)));
    assert_eq!(evacuations.since("a"), Some(Time::from_millis(5)));
    assert!(evacuations.matches(&["a".into()]));
    assert!(!evacuations.matches(&["a".into(), "b".into()]));
    assert!(evacuations.end("a") && !evacuations.end("a"));
    assert!(evacuations.matches(&[]));
}

proptest! {
    #[test]
    fn the_room_of_an_evacuated_hall_only_shrinks(
        within in 1u64..20_000, a in 0u64..30_000, b in 0u64..30_000,
    ) {
        let bound = EvacuationBound::new(Duration::from_millis(within));
        let since = Time::from_millis(7);
        let room = |ms: u64| bound.capacity_fraction(since, Time::from_millis(7 + ms));
        prop_assert!(room(a.min(b)) >= room(a.max(b)));
        prop_assert_eq!(room(within), 0.0);
    }
}
