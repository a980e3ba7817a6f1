//! Sends an attempt to an agent and classifies its answer.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use stairhinge::poison::Suspicion;
use stairhinge::request::{Attempt, Failure};
use stairhinge::{Code, Ran, Time};
use stairhinge_shell::http::{Body, CallError, full, headers};

use crate::Entry;
use crate::checked_request::{CheckedRequest, Requested};
use crate::choose::ChosenAgent;

/// A failed attempt, with the `Retry-After` of the agent's answer if it had
/// one.
pub(crate) struct FailedAttempt {
    pub(crate) failure: Failure,
    pub(crate) retry_after: Option<Duration>,
}

impl From<Failure> for FailedAttempt {
    fn from(failure: Failure) -> FailedAttempt {
        FailedAttempt { failure, retry_after: None }
    }
}

/// Counts a request as in progress at an agent until this is dropped.
pub(crate) struct InFlight {
    entry: Arc<Entry>,
    name: Arc<str>,
}

impl InFlight {
    pub(crate) fn new(entry: &Arc<Entry>, name: &Arc<str>) -> InFlight {
        entry.update_agent(name, |s| s.own_requests += 1);
        InFlight { entry: Arc::clone(entry), name: Arc::clone(name) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.update_agent(&self.name, |s| {
            s.own_requests = s.own_requests.saturating_sub(1)
        });
    }
}

impl Entry {
    /// Sends an attempt to the chosen agent. Returns the answer once its head
    /// has arrived, which may take no longer than `within`.
    pub(crate) async fn send(
        &self,
        checked: &CheckedRequest,
        chosen: &ChosenAgent,
        attempt: &Attempt,
        incarnation: u64,
        suspicion: Suspicion,
        within: Duration,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let request =
            self.build_request(checked, attempt, incarnation, suspicion);
        let request = request.map_err(|err| {
            log::error!("cannot build the request for an agent: {err}");
            Failure::Unsent
        })?;
        let sent_at = self.node.now();
        let sent = self.node.client().send(chosen.http, request, within).await;
        let response = match sent {
            Ok(response) => response,
            Err(err) => {
                log::debug!("attempt at agent {} failed: {err}", chosen.name);
                let now = self.node.now();
                self.update_agent(&chosen.name, |s| {
                    s.health.record_failure(sent_at, now)
                });
                return Err(FailedAttempt::from(match err {
                    CallError::Unsent(_) => Failure::Unsent,
                    CallError::Silent(_) => Failure::NoResponse,
                }));
            }
        };
        self.record_headers(chosen, response.headers());
        match error_code(response.headers()) {
            None => {
                self.update_agent(&chosen.name, |s| s.health.record_success());
                Ok(response)
            }
            Some(code) => {
                let map = response.headers();
                let failure = self.record_refusal(chosen, code, map, sent_at);
                let retry_after =
                    number(map, "retry-after").map(Duration::from_secs);
                Err(FailedAttempt { failure, retry_after })
            }
        }
    }

    fn build_request(
        &self,
        checked: &CheckedRequest,
        attempt: &Attempt,
        incarnation: u64,
        suspicion: Suspicion,
    ) -> Result<Request<Body>, hyper::http::Error> {
        let revision = self.node.view().revision();
        let priority = checked.workspace.priority();
        let features = &checked.features;
        let mut request = Request::builder()
            .method(checked.method.clone())
            .uri(&checked.path)
            .header(headers::ATTEMPT, attempt.as_str())
            .header(headers::INCARNATION, incarnation)
            .header(headers::REVISION, revision)
            .header(headers::FINGERPRINT, features.request.to_string())
            .header(headers::SUSPICION, suspicion.to_string())
            .header(headers::ENGINE_PRIORITY, priority.to_string());
        if !features.parts().is_empty() {
            let parts: Vec<String> =
                features.parts().iter().map(ToString::to_string).collect();
            request = request.header(headers::PARTS, parts.join(","));
        }
        if let Some(content_type) = &checked.content_type {
            request = request.header("content-type", content_type);
        }
        if let Requested::Model(model) = &checked.requested {
            request = request.header(headers::MODEL, &**model);
        }
        if let Some(key) = &checked.key {
            request = request.header(headers::KEY, key.as_str());
        }
        if !checked.repeatable {
            request = request.header(headers::REPEATABLE, "false");
        }
        request.body(full(checked.body.clone()))
    }

    /// Records the load and incarnation that an answer reports of its agent.
    fn record_headers(&self, chosen: &ChosenAgent, map: &HeaderMap) {
        let number = |name| number(map, name);
        let load = number(headers::LOAD);
        let incarnation = number(headers::INCARNATION);
        self.update_agent(&chosen.name, |agent| {
            if let Some(load) = load {
                agent.reported_requests = load as u32;
            }
            if incarnation > agent.incarnation {
                agent.incarnation = incarnation;
                agent.leaving = false;
            }
        });
    }

    /// Updates the agent's state after a refusal and classifies the failure.
    fn record_refusal(
        &self,
        chosen: &ChosenAgent,
        code: Code,
        map: &HeaderMap,
        sent_at: Time,
    ) -> Failure {
        let name = &chosen.name;
        match code {
            Code::Leaving => self.update_agent(name, |s| s.leaving = true),
            Code::Behind => {
                let revision = number(map, headers::REVISION);
                if revision != Some(self.node.view().revision()) {
                    self.node.meet(chosen.control);
                }
            }
            Code::NotServing | Code::Overloaded => self.exclude_briefly(name),
            // Decisions and failures of a key's guard don't count against the
            // agent, nor does a request that makes backend servers end.
            Code::Quarantined
            | Code::GuardUnreachable
            | Code::GuardForgetful
            | Code::GuardFull
            | Code::DuplicateRunning
            | Code::DuplicateRan => {}
            _ => {
                let now = self.node.now();
                self.update_agent(name, |s| {
                    s.health.record_failure(sent_at, now)
                });
            }
        }
        let ran = map.get(headers::RAN).and_then(|v| v.to_str().ok());
        match ran.and_then(Ran::parse) {
            _ if matches!(
                code,
                Code::DuplicateRunning | Code::DuplicateRan
            ) =>
            {
                Failure::Duplicate(code)
            }
            Some(Ran::DidNotRun) => Failure::Refused(code),
            _ => Failure::Failed(code),
        }
    }
}

fn error_code(map: &HeaderMap) -> Option<Code> {
    let num = number(map, headers::CODE)?;
    Code::from_number(u16::try_from(num).ok()?)
}

fn number(map: &HeaderMap, name: &str) -> Option<u64> {
    map.get(name)?.to_str().ok()?.parse().ok()
}
