//! Waiting for admission.

use std::sync::Arc;

use stairhinge::declaration::Workspace;
use stairhinge::request::{AdmissionDecision, Ticket};
use stairhinge::{Code, Error, Time};
use stairhinge_shell::http::Failed;
use tokio::sync::oneshot;

use crate::Entry;

/// A request that has been admitted; its end admits the next.
pub(crate) struct Admitted {
    entry: Arc<Entry>,
    start: Time,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.entry.node.now();
        self.entry.next(now.since(self.start));
    }
}

/// A request that waits; if its caller goes, so does its ticket.
struct Waiting {
    entry: Arc<Entry>,
    ticket: Option<Ticket>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut door = self.entry.door();
        door.waiting.remove(&ticket);
        let queued = door.admission.cancel(ticket);
        drop(door);
        if !queued {
            // It was called just now: the place goes to the next.
            self.entry.pass_on();
        }
    }
}

impl Entry {
    /// Waits until a request is admitted, or refuses it at once.
    pub(crate) async fn admit(
        self: &Arc<Entry>,
        workspace: &Workspace,
        deadline: Time,
    ) -> Result<Admitted, Failed> {
        let now = self.node.now();
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let mut door = self.door();
            let noise = rand::random::<f64>();
            let offer = door.admission.admit(workspace, deadline, now, noise);
            match offer {
                AdmissionDecision::Start => None,
                AdmissionDecision::Refuse(err, back) => {
                    return Err(Failed::new(err).with_back(back));
                }
                AdmissionDecision::Wait(ticket) => {
                    door.waiting.insert(ticket, tx);
                    Some(ticket)
                }
            }
        };
        self.show_load();
        if ticket.is_some() {
            self.wait(ticket, rx, deadline.since(now)).await?;
        }
        Ok(Admitted { entry: Arc::clone(self), start: self.node.now() })
    }

    async fn wait(
        self: &Arc<Entry>,
        ticket: Option<Ticket>,
        called: oneshot::Receiver<()>,
        most: std::time::Duration,
    ) -> Result<(), Failed> {
        let mut waiting = Waiting { entry: Arc::clone(self), ticket };
        match tokio::time::timeout(most, called).await {
            Ok(Ok(())) => {
                waiting.ticket = None;
                Ok(())
            }
            Ok(Err(_)) | Err(_) => {
                let why = "the deadline passed while waiting";
                let err = Error::new(Code::DeadlinePassed, why);
                let back =
                    stairhinge::request::AdmissionControl::MIN_RETRY_AFTER;
                Err(Failed::new(err).with_back(back))
            }
        }
    }

    /// Takes note that a request ended after `span`, and calls the next.
    fn next(&self, span: std::time::Duration) {
        let now = self.node.now();
        let mut door = self.door();
        let mut lost = 0;
        for ticket in door.admission.finish(span, now) {
            let called = door.waiting.remove(&ticket);
            if called.is_none_or(|tx| tx.send(()).is_err()) {
                lost += 1;
            }
        }
        drop(door);
        for _ in 0..lost {
            self.pass_on();
        }
        self.show_load();
    }

    /// Gives a place that nobody took to the next. It says nothing about how
    /// long requests take, so the usual time is left as it is.
    fn pass_on(&self) {
        let usual = self.door().admission.expected_duration();
        self.next(usual);
    }

    fn show_load(&self) {
        let (running, queued) = self.door().admission.load();
        self.node.carry(running);
        self.node.metrics().load(running, queued);
    }
}
