//! Ranges of the layers of a model.

use serde::{Deserialize, Serialize};

/// A contiguous range of a model's layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LayerRange {
    /// The first layer.
    pub from: u32,
    /// The layer after the last one.
    pub to: u32,
}

impl LayerRange {
    /// Returns whether the range covers a model with `layers` layers.
    pub const fn is_whole(self, layers: u32) -> bool {
        self.from == 0 && self.to >= layers
    }

    /// Returns the number of layers in the range.
    pub const fn count(self) -> u32 {
        self.to.saturating_sub(self.from)
    }
}
