//! Graceful shutdown and signal handling.

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// The sending half of a shutdown signal.
#[derive(Clone, Debug)]
pub struct Stopper(watch::Sender<bool>);

/// The receiving half of a shutdown signal, for the tasks of a process.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<bool>);

impl Shutdown {
    /// Returns both halves of a new shutdown signal.
    pub fn new() -> (Stopper, Shutdown) {
        let (tx, rx) = watch::channel(false);
        (Stopper(tx), Shutdown(rx))
    }

    /// Waits until the shutdown begins.
    pub async fn wait(&self) {
        let mut rx = self.0.clone();
        // Dropping the `Stopper` begins the shutdown as well.
        let _ = rx.wait_for(|stop| *stop).await;
    }

    /// Returns whether the shutdown has begun.
    pub fn stopping(&self) -> bool {
        *self.0.borrow()
    }
}

impl Stopper {
    /// Begins the shutdown in all tasks.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

/// Begins the shutdown on SIGTERM or SIGINT; SIGHUP only logs a warning.
///
/// For programs that read their settings only at start.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub fn on_signals() -> std::io::Result<Shutdown> {
    let mut hang_ups = HangUps::listen()?;
    tokio::spawn(async move {
        loop {
            hang_ups.next().await;
            log::warn!("ignored SIGHUP: settings are read only at start");
        }
    });
    stop_on_signals()
}

/// Begins the shutdown on SIGTERM or SIGINT.
///
/// The caller has to handle SIGHUP, which by default ends the process.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
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

/// A stream of SIGHUP signals, which announce changed settings.
#[derive(Debug)]
pub struct HangUps(Signal);

impl HangUps {
    /// Starts listening for SIGHUP, which then no longer ends the process.
    ///
    /// # Errors
    ///
    /// If the signal handler cannot be installed.
    pub fn listen() -> std::io::Result<HangUps> {
        signal(SignalKind::hangup()).map(HangUps)
    }

    /// Waits for the next SIGHUP.
    pub async fn next(&mut self) {
        // The stream of signals never ends while the process runs.
        self.0.recv().await;
    }
}
