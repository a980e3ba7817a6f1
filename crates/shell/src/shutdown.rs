//! The planned stop of a process.

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Tells a process's tasks to stop.
#[derive(Clone, Debug)]
pub struct Stopper(watch::Sender<bool>);

/// Tells a task whether, and when, its process is to stop.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<bool>);

impl Shutdown {
    /// Returns both ends.
    pub fn new() -> (Stopper, Shutdown) {
        let (tx, rx) = watch::channel(false);
        (Stopper(tx), Shutdown(rx))
    }

    /// Waits until the process is to stop.
    pub async fn wait(&self) {
        let mut rx = self.0.clone();
        // A dropped stopper means that nobody is left to wait for.
        let _ = rx.wait_for(|stop| *stop).await;
    }

    /// Returns whether the process is to stop.
    pub fn stopping(&self) -> bool {
        *self.0.borrow()
    }
}

impl Stopper {
    /// Tells all tasks to stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

/// Stops on SIGTERM and SIGINT. A SIGHUP is noted and ends nothing: the
/// program reads its settings at its start only.
///
/// # Errors
///
/// If the signals cannot be listened for.
pub fn on_signals() -> std::io::Result<Shutdown> {
    let mut hang_ups = HangUps::listen()?;
    tokio::spawn(async move {
        loop {
            hang_ups.next().await;
            log::warn!("settings are read again at the next start only");
        }
    });
    stop_on_signals()
}

/// Stops on SIGTERM and SIGINT; the caller handles SIGHUP, which ends a
/// process that does not.
///
/// # Errors
///
/// If the signals cannot be listened for.
pub fn stop_on_signals() -> std::io::Result<Shutdown> {
    let (stopper, shutdown) = Shutdown::new();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stopper.stop();
    });
    Ok(shutdown)
}

/// Hang-ups (SIGHUP), which tell that settings have changed.
#[derive(Debug)]
pub struct HangUps(Signal);

impl HangUps {
    /// Listens for hang-ups, which end the process no more.
    ///
    /// # Errors
    ///
    /// If the signal cannot be listened for.
    pub fn listen() -> std::io::Result<HangUps> {
        signal(SignalKind::hangup()).map(HangUps)
    }

    /// Waits for the next one.
    pub async fn next(&mut self) {
        // There is no end of it while the process lives.
        self.0.recv().await;
    }
}
