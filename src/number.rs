//! Deserialization of integers from any JSON or YAML number.
//!
//! JSON and YAML do not distinguish integers from other numbers. A limit that
//! its writer computes from other values may be `34.42` or `3000.0` as well
//! as `3000`.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The maximum value, 2^53: an `f64` represents all integers up to it exactly.
const MAX: f64 = 9_007_199_254_740_992.0;

/// Deserializes a non-negative number and discards its fraction.
///
/// # Errors
///
/// If the value is not a number, is negative or does not fit the target type.
/// The message contains the value and the allowed range.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let value = f64::deserialize(deserializer)?;
    let allowed = (0.0..=MAX).contains(&value);
    let number = if allowed { T::try_from(value as u64).ok() } else { None };
    number.ok_or_else(|| {
        let bits = 8 * size_of::<T>().min(size_of::<u64>());
        let max = if bits >= 53 { MAX } else { 2f64.powi(bits as i32) - 1.0 };
        D::Error::custom(format_args!("{value}, allowed: 0 to {max}"))
    })
}

/// Deserializes an optional number like [`whole`].
///
/// # Errors
///
/// The same as [`whole`].
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
