//! Queues requests until they are admitted.

use std::sync::Arc;

use stairhinge::declaration::Workspace;
use stairhinge::request::{AdmissionDecision, Ticket};
use stairhinge::{Code, Error, Time};
use stairhinge_shell::http::Failed;
use tokio::sync::oneshot;

use crate::Entry;

/// An admitted request. Dropping it admits the next one.
pub(crate) struct AdmittedRequest {
    entry: Arc<Entry>,
    start: Time,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let now = self.entry.node.now();
        self.entry.finish_request(now.since(self.start));
    }
}

/// A queued request. Dropping it, as when its caller disconnects, cancels its
/// ticket.
struct QueuedRequest {
    entry: Arc<Entry>,
    ticket: Option<Ticket>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut queue = self.entry.admission_queue();
        queue.waiters.remove(&ticket);
        let was_queued = queue.admission.cancel(ticket);
        drop(queue);
        if !was_queued {
            // It has just been admitted, so its place goes to the next.
            self.entry.admit_next();
        }
    }
}

impl Entry {
    /// Waits until a request is admitted. Refuses it if the queue is full or
    /// the deadline passes first.
    pub(crate) async fn admit(
        self: &Arc<Entry>,
        workspace: &Workspace,
        deadline: Time,
    ) -> Result<AdmittedRequest, Failed> {
        let now = self.node.now();
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let mut queue = self.admission_queue();
            let jitter = rand::random::<f64>();
            let decision =
                queue.admission.admit(workspace, deadline, now, jitter);
            match decision {
                AdmissionDecision::Start => None,
                AdmissionDecision::Refuse(err, retry_after) => {
                    return Err(Failed::new(err).with_retry_after(retry_after));
                }
                AdmissionDecision::Wait(ticket) => {
                    queue.waiters.insert(ticket, tx);
                    Some(ticket)
                }
            }
        };
        self.report_load();
        if ticket.is_some() {
            self.wait_in_queue(ticket, rx, deadline.since(now)).await?;
        }
        Ok(AdmittedRequest { entry: Arc::clone(self), start: self.node.now() })
    }

    async fn wait_in_queue(
        self: &Arc<Entry>,
        ticket: Option<Ticket>,
        admitted: oneshot::Receiver<()>,
        max_wait: std::time::Duration,
    ) -> Result<(), Failed> {
        let mut queued = QueuedRequest { entry: Arc::clone(self), ticket };
        match tokio::time::timeout(max_wait, admitted).await {
            Ok(Ok(())) => {
                queued.ticket = None;
                Ok(())
            }
            Ok(Err(_)) | Err(_) => {
                let why = "the deadline passed while the request was queued";
                let err = Error::new(Code::DeadlinePassed, why);
                let retry_after =
                    stairhinge::request::AdmissionControl::MIN_RETRY_AFTER;
                Err(Failed::new(err).with_retry_after(retry_after))
            }
        }
    }

    /// Records that a request ended after `duration`, and admits the next
    /// ones.
    fn finish_request(&self, duration: std::time::Duration) {
        let now = self.node.now();
        let mut queue = self.admission_queue();
        let mut abandoned = 0;
        for ticket in queue.admission.finish(duration, now) {
            let waiter = queue.waiters.remove(&ticket);
            if waiter.is_none_or(|tx| tx.send(()).is_err()) {
                abandoned += 1;
            }
        }
        drop(queue);
        for _ in 0..abandoned {
            self.admit_next();
        }
        self.report_load();
    }

    /// Gives an unused place to the next queued request. Passing the expected
    /// duration leaves the estimate of it unchanged.
    fn admit_next(&self) {
        let expected = self.admission_queue().admission.expected_duration();
        self.finish_request(expected);
    }

    fn report_load(&self) {
        let (running, queued) = self.admission_queue().admission.load();
        self.node.set_load(running);
        self.node.metrics().load(running, queued);
    }
}
