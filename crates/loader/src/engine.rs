//! The border to an engine that takes staged chunks.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge::direct::LayerRange;
use stairhinge_chunks::ChunkStage;

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// The model that it holds.
    pub model: Option<Arc<str>>,
    /// The version of its weights.
    pub version: Option<u64>,
    /// The layers that it holds, where these may not be all.
    pub layers: Option<LayerRange>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders that it has taken; it forgets them when it restarts.
    pub sequence: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// How slow it is; 1 is usual.
    pub pace: f32,
}

impl EngineState {
    /// Returns it as one that holds nothing, unless it holds all of `layers`
    /// layers: what it holds of a model in part serves nobody.
    #[must_use]
    pub fn whole(mut self, layers: u32) -> EngineState {
        if self.layers.is_some_and(|run| !run.is_whole(layers)) {
            self.model = None;
            self.version = None;
        }
        self
    }
}

/// An order to load what is staged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: Arc<str>,
    /// The version that the staged chunks make up.
    pub version: u64,
    /// The orders that the engine is expected to have taken.
    pub sequence: u64,
    /// The layers to load, where these are not all.
    pub layers: Option<LayerRange>,
}

/// What an engine said to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The load has begun.
    Begun,
    /// It holds the version already.
    Held,
    /// The order does not fit the engine's state.
    Conflict,
}

/// An engine that takes staged chunks and load orders from its own instance.
pub trait StagedEngine: ChunkStage {
    /// Asks how it stands.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, Error>>;

    /// Returns which chunks lie staged for a model.
    fn staged<'a>(
        &'a self,
        model: &'a str,
    ) -> BoxFuture<'a, Result<Vec<u32>, Error>>;

    /// Stages a chunk, over what lies there.
    fn write<'a>(
        &'a self,
        model: &'a str,
        index: u32,
        bytes: Bytes,
    ) -> BoxFuture<'a, Result<(), Error>>;

    /// Orders a load of what is staged.
    fn load<'a>(
        &'a self,
        order: &'a LoadOrder,
    ) -> BoxFuture<'a, Result<LoadOutcome, Error>>;
}
