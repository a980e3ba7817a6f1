//! Requests that end the backend server.
//!
//! The agent stays while its backend server ends, so it is the one to see
//! under which requests that happened. Whether a request is sent, and tried
//! again, is the entry's to decide; the agent refuses what its entry has not
//! heard of. What both know of a request is what an end is counted on.

use std::time::Duration;

use hyper::http::request::Parts;
use stairhinge::poison::{Admission, Fingerprint, PoisonRecord, Suspicion};
use stairhinge::{Code, Error};
use stairhinge_shell::http::{Failed, headers};
use stairhinge_shell::is_refused;

use crate::Agent;

/// Within which the backend server's instance, which is the agent's own, says
/// that nobody listens any more.
const WITHIN: Duration = Duration::from_millis(200);

/// A request at the backend server, and what was known of it at its admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    request: Fingerprint,
    sent: Suspicion,
}

impl Agent {
    /// Admits a request that does not end backend servers as far as known.
    /// One whose entry does not name what it asks is not looked after.
    ///
    /// # Errors
    ///
    /// [`Code::Quarantined`], [`Code::BadHeader`].
    pub(crate) fn admit_suspect(
        &self,
        parts: &Parts,
    ) -> Result<Option<Suspect>, Failed> {
        let text = |name| parts.headers.get(name)?.to_str().ok();
        let Some(name) = text(headers::FINGERPRINT) else { return Ok(None) };
        let bad = |e: Error| Error::new(Code::BadHeader, e);
        let request: Fingerprint = name.parse().map_err(bad)?;
        let told: Suspicion = match text(headers::SUSPICION) {
            Some(text) => text.parse().map_err(bad)?,
            None => Suspicion::default(),
        };
        let now = self.node.now();
        let record = PoisonRecord {
            request,
            suspicion: told,
            age_ms: 0,
            replicas: Vec::new(),
        };
        let mut table = self.node.poison();
        table.merge(vec![record], now);
        match table.recheck(request, told, now) {
            Admission::Admitted(_) => {
                let sent = table.suspicion(request);
                Ok(Some(Suspect { request, sent }))
            }
            Admission::Refused(refusal) => {
                let err = Error::new(Code::Quarantined, &refusal);
                Err(Failed::new(err).with_back(refusal.retry_after))
            }
        }
    }

    /// Looks at the backend server after it brought no whole answer.
    pub(crate) async fn examine(&self, suspect: Option<Suspect>) {
        let Some(suspect) = suspect else { return };
        if is_refused(self.settings.backend, WITHIN).await {
            self.node.ended_under(suspect.request, suspect.sent);
        }
    }

    /// Takes note of a whole answer.
    pub(crate) fn answered(&self, suspect: Option<Suspect>) {
        if let Some(suspect) = suspect {
            self.node.answered_whole(suspect.request);
        }
    }
}
