//! Numbers that are used in whole units and may be written in any way.
//!
//! JSON and YAML have one kind of number. A bound that its writer works out
//! from other figures is `34.42` or `3000.0` as often as `3000`.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The largest number that is read: all whole ones up to it are exact.
const MOST: f64 = 9_007_199_254_740_992.0;

/// Reads a number of 0 or more and drops its fraction.
///
/// # Errors
///
/// For no number, one below 0, or one that the target type cannot hold; the
/// message names the value and the range.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let value = f64::deserialize(deserializer)?;
    let allowed = (0.0..=MOST).contains(&value);
    let number = if allowed { T::try_from(value as u64).ok() } else { None };
    number.ok_or_else(|| {
        let bits = 8 * size_of::<T>().min(size_of::<u64>());
        let most =
            if bits >= 53 { MOST } else { 2f64.powi(bits as i32) - 1.0 };
        D::Error::custom(format_args!("{value}, allowed: 0 to {most}"))
    })
}

/// Reads a number as [`whole`] does, or nothing.
///
/// # Errors
///
/// As of [`whole`].
pub fn maybe_whole<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    #[derive(Deserialize)]
    #[serde(bound = "T: TryFrom<u64>")]
    struct Number<T>(#[serde(deserialize_with = "whole")] T);

    let number = Option::<Number<T>>::deserialize(deserializer)?;
    Ok(number.map(|number| number.0))
}

#[cfg(test)]
mod tests;
