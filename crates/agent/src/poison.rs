//! Detection of requests that crash the backend server.
//!
//! The agent keeps running when its backend server's process ends, so it
//! records which requests were in progress at the time. The entry decides
//! whether a request is sent and retried. The agent refuses a request on
//! suspicions that its entry did not know of, so that an end of the process is
//! counted from a suspicion that both of them knew.

use std::sync::Arc;
use std::time::Duration;

use hyper::http::request::Parts;
use stairhinge::poison::{
    Admission, Fingerprint, PoisonRecord, RequestFeatures, Suspicion,
};
use stairhinge::{Code, Error};
use stairhinge_shell::http::{Failed, headers};
use stairhinge_shell::is_connection_refused;

use crate::Agent;

/// The timeout for a connection attempt that checks whether the backend server
/// still listens. It runs on the agent's own instance.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// A request sent to the backend server, and the suspicion against it when it
/// was admitted.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    features: RequestFeatures,
    /// The model or service that it is for.
    service: Arc<str>,
    sent: Suspicion,
}

impl Agent {
    /// Admits a request unless it is quarantined. A request without a
    /// fingerprint from its entry is admitted and not tracked.
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
        let mut prompt: Vec<Fingerprint> = Vec::new();
        for part in text(headers::PARTS).unwrap_or("").split(',') {
            if !part.is_empty() {
                prompt.push(part.trim().parse().map_err(bad)?);
            }
        }
        let features = RequestFeatures::from_parts(request, prompt);
        self.node.judge_poison();
        let now = self.node.now();
        let record = PoisonRecord {
            request,
            suspicion: told,
            age_ms: 0,
            replicas: Vec::new(),
        };
        let mut table = self.node.poison();
        table.merge(vec![record], now);
        match table.recheck_features(&features, told, now) {
            Admission::Admitted(_) => {
                let sent = table.suspicion(request);
                let service = requested_service(parts);
                Ok(Some(Suspect { features, service, sent }))
            }
            Admission::Refused(refusal) => {
                let err = Error::new(Code::Quarantined, &refusal);
                Err(Failed::new(err).with_retry_after(refusal.retry_after))
            }
        }
    }

    /// Checks whether the backend server's process has ended, after a request
    /// without a complete answer.
    pub(crate) async fn check_backend(&self, suspect: Option<&Suspect>) {
        let Some(Suspect { features, service, sent }) = suspect else {
            return;
        };
        if is_connection_refused(self.settings.backend, PROBE_TIMEOUT).await {
            let life = self.activity.record_end();
            self.node.record_crash(features, *sent, service, life);
        }
    }

    /// Records a complete answer.
    pub(crate) fn record_whole_answer(&self, suspect: Option<&Suspect>) {
        if let Some(suspect) = suspect {
            let Suspect { features, service, .. } = suspect;
            self.node.record_answer(features, Some(service));
        }
    }
}

/// Returns the model or the service that a request is for.
fn requested_service(parts: &Parts) -> Arc<str> {
    let model = parts.headers.get(headers::MODEL);
    let model = model.and_then(|value| value.to_str().ok());
    let path = || parts.uri.path().split('/').nth(2);
    Arc::from(model.or_else(path).unwrap_or(""))
}
