//! An engine's process: whether it runs, and the request under which it ends.

use std::sync::Mutex;

use tokio::sync::watch;

use super::state::lock;

/// Whether an engine's process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It runs.
    Up,
    /// It is to end as soon as nobody listens at its address any more.
    Ending,
    /// It has ended.
    Down,
}

/// An engine's process.
#[derive(Debug)]
pub(super) struct Life {
    phase: watch::Sender<Phase>,
    poison: Mutex<Option<String>>,
    /// Words of prompts under which it ends.
    words: Mutex<Vec<String>>,
    ends: watch::Sender<u32>,
}

impl Life {
    /// Returns a process that runs.
    pub(super) fn new() -> Life {
        Life {
            phase: watch::Sender::new(Phase::Up),
            poison: Mutex::new(None),
            words: Mutex::default(),
            ends: watch::Sender::new(0),
        }
    }

    /// Has it end under requests with this prompt.
    pub(super) fn end_under(&self, prompt: &str) {
        *lock(&self.poison) = Some(prompt.to_string());
    }

    /// Has it end under requests with this word in their prompts.
    pub(super) fn end_under_word(&self, word: &str) {
        lock(&self.words).push(word.to_string());
    }

    fn ends_under(&self, prompt: &str) -> bool {
        let words = lock(&self.words);
        let mut own = prompt.split_whitespace();
        lock(&self.poison).as_deref() == Some(prompt)
            || own.any(|own| words.iter().any(|word| word == own))
    }

    /// Ends the process if it does so under this prompt.
    pub(super) async fn run(&self, prompt: &str) {
        if !self.ends_under(prompt) {
            return;
        }
        self.end();
        let mut phase = self.phase.subscribe();
        // The sender is here, so that it cannot be gone.
        let _ = phase.wait_for(|phase| *phase == Phase::Down).await;
    }

    /// Ends the process.
    pub(super) fn end(&self) {
        let ended = self.phase.send_if_modified(|phase| {
            let up = *phase == Phase::Up;
            if up {
                *phase = Phase::Ending;
            }
            up
        });
        if ended {
            self.ends.send_modify(|ends| *ends += 1);
        }
    }

    /// Waits until the process is to end.
    pub(super) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Ending).await;
    }

    /// Notes that nobody listens at its address any more.
    pub(super) fn down(&self) {
        self.phase.send_replace(Phase::Down);
    }

    /// Notes that a new process listens.
    pub(super) fn up(&self) {
        self.phase.send_replace(Phase::Up);
    }

    /// Returns whether the process has ended.
    pub(super) fn is_down(&self) -> bool {
        *self.phase.borrow() == Phase::Down
    }

    /// Returns how often it has ended.
    pub(super) fn ends(&self) -> u32 {
        *self.ends.borrow()
    }
}
