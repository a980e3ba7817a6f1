use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{AllowedRegions, EvacuationBound, Evacuations, HallRegions};
use crate::Time;

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().map(|n| Arc::from(*n)).collect())
}

#[test]
fn intersection_allows_only_common_regions() {
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
fn unknown_regions_are_allowed_only_without_restriction() {
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
fn capacity_of_an_evacuated_hall_reaches_zero_before_the_bound() {
    let bound = EvacuationBound::new(Duration::from_secs(5));
    let since = Time::from_millis(10_000);
    let fraction = |ms: u64| {
        bound.capacity_fraction(since, Time::from_millis(10_000 + ms))
    };
    assert_eq!(fraction(0), 1.0);
    assert!((0.4..0.6).contains(&fraction(1_500)), "{}", fraction(1_500));
    // The rest of the bound is left for requests in transit.
    assert_eq!(fraction(3_500), 0.0);
    assert_eq!(fraction(60_000), 0.0);
}

#[test]
fn repeated_evacuation_keeps_the_first_time() {
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
    fn capacity_of_an_evacuated_hall_never_grows(
        within in 1u64..20_000, a in 0u64..30_000, b in 0u64..30_000,
    ) {
        let bound = EvacuationBound::new(Duration::from_millis(within));
        let since = Time::from_millis(7);
        let fraction = |ms: u64| {
            bound.capacity_fraction(since, Time::from_millis(7 + ms))
        };
        prop_assert!(fraction(a.min(b)) >= fraction(a.max(b)));
        prop_assert_eq!(fraction(within), 0.0);
    }
}
