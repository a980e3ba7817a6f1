//! One role on a thread and runtime of its own.

use std::future::Future;
use std::thread::JoinHandle;

use stairhinge::{Code, Error};
use stairhinge_shell::{Shutdown, Stopper};
use tokio::sync::oneshot;

/// A role that runs on a thread of its own until it is stopped or killed.
#[derive(Debug)]
pub struct Cell {
    stopper: Stopper,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Cell {
    /// Starts a role.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the thread cannot be started.
    pub fn start<F, Fut>(name: &str, role: F) -> Result<Cell, Error>
    where
        F: FnOnce(Shutdown) -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), Error>>,
    {
        let (stopper, shutdown) = Shutdown::new();
        let (kill, killed) = oneshot::channel();
        let label = name.to_string();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(err) => return log::error!("{label}: {err}"),
            };
            runtime.block_on(async move {
                tokio::select! {
                    done = role(shutdown) => if let Err(err) = done {
                        log::error!("{label}: {err}");
                    },
                    _ = killed => {}
                }
            });
            // Tasks and sockets go with the runtime, answered or not.
            runtime.shutdown_background();
        };
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(run)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(Cell { stopper, kill: Some(kill), thread: Some(thread) })
    }

    /// Tells the role to stop, as SIGTERM would.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Ends the role at once, as SIGKILL would.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            // Its thread may have ended by itself.
            let _ = kill.send(());
        }
    }

    /// Returns whether the role has ended.
    pub fn ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the role has ended; it must have been told to.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.kill();
        self.join();
    }
}
