//! An engine whose process starts again after it has ended.

use std::sync::Arc;
use std::time::Duration;

use stairhinge_standins::{Engine, Running, start};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// An engine that is kept running until this is dropped.
pub(crate) struct KeptEngine(JoinHandle<()>);

impl KeptEngine {
    /// Keeps an engine that listens.
    pub(crate) fn new(engine: Arc<Engine>, served: Running) -> KeptEngine {
        KeptEngine(tokio::spawn(keep(engine, served)))
    }
}

impl Drop for KeptEngine {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How long an engine is away once its process has ended.
const AWAY: Duration = Duration::from_millis(300);

/// Starts an engine's process again, at its address, each time it has ended.
async fn keep(engine: Arc<Engine>, mut served: Running) {
    loop {
        engine.ending().await;
        let addr = served.addr();
        drop(served);
        // Its listener closes with its task.
        while TcpStream::connect(addr).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        engine.down();
        tokio::time::sleep(AWAY).await;
        engine.up();
        served = match start(addr, engine.clone()).await {
            Ok(served) => served,
            Err(err) => {
                log::error!("{addr}: {err}");
                return;
            }
        };
    }
}
