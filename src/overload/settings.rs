//! The settings of admission control under overload.

use serde::{Deserialize, Serialize};

use crate::Error;

/// What capacity return times are promised from.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Only the capacity that new callers are not expected to need.
    #[default]
    NewFirst,
    /// All capacity that new callers do not need for their floor share.
    PromisedFirst,
    /// The mean of both.
    Shared,
}

/// The settings of admission control under overload.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct OverloadSettings {
    /// What capacity return times are promised from.
    #[serde(default)]
    pub policy: Policy,
    /// The fraction of the served share of all classes up to which a class is
    /// served before more urgent classes, from 0 to 1.
    #[serde(default = "default_floor")]
    pub floor: f64,
}

const fn default_floor() -> f64 {
    0.66
}

impl OverloadSettings {
    /// Checks the ranges of all fields.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`](crate::Code::OutOfRange) for a floor share that is
    /// not from 0 to 1.
    pub fn check(&self) -> Result<(), Error> {
        if (0.0..=1.0).contains(&self.floor) {
            return Ok(());
        }
        Err(Error::range("overload.floor", self.floor, "0 to 1"))
    }
}

impl Default for OverloadSettings {
    fn default() -> OverloadSettings {
        OverloadSettings { policy: Policy::default(), floor: default_floor() }
    }
}
