//! A model engine: batches, streams, takes fenced orders.

mod answer;
mod life;
mod record;
mod state;

pub use self::record::Record;
pub use self::state::{Engine, EngineSettings};
