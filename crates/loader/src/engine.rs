//! The interface to an engine that loads its weights from staged chunks.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge::direct::LayerRange;
use stairhinge_chunks::ChunkStage;

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// The loaded model.
    pub model: Option<Arc<str>>,
    /// The version of the loaded weights.
    pub version: Option<u64>,
    /// The loaded layers, unless all are known to be loaded.
    pub layers: Option<LayerRange>,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// The number of orders accepted since the engine's last restart.
    pub sequence: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The slowdown factor; 1 is the usual speed.
    pub pace: f32,
}

impl EngineState {
    /// Clears the model and version unless all `layers` layers are loaded. A
    /// partly loaded model cannot serve requests.
    #[must_use]
    pub fn without_partial_model(mut self, layers: u32) -> EngineState {
        if self.layers.is_some_and(|loaded| !loaded.is_whole(layers)) {
            self.model = None;
            self.version = None;
        }
        self
    }
}

/// An order to load the staged chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: Arc<str>,
    /// The version that the staged chunks belong to.
    pub version: u64,
    /// The expected [`EngineState::sequence`] of the engine.
    pub sequence: u64,
    /// The layers to load, or `None` for all.
    pub layers: Option<LayerRange>,
}

/// An engine's answer to a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The load has started.
    Started,
    /// The version is already loaded.
    AlreadyLoaded,
    /// The order does not match the engine's state.
    Conflict,
}

/// An engine that accepts staged chunks and load orders from its instance.
pub trait StagedEngine: ChunkStage {
    /// Queries the engine's state.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, Error>>;

    /// Returns the indices of the chunks staged for a model.
    fn staged<'a>(
        &'a self,
        model: &'a str,
    ) -> BoxFuture<'a, Result<Vec<u32>, Error>>;

    /// Stages a chunk, replacing any chunk at the same index.
    fn write<'a>(
        &'a self,
        model: &'a str,
        index: u32,
        bytes: Bytes,
    ) -> BoxFuture<'a, Result<(), Error>>;

    /// Orders the engine to load the staged chunks.
    fn load<'a>(
        &'a self,
        order: &'a LoadOrder,
    ) -> BoxFuture<'a, Result<LoadOutcome, Error>>;
}
