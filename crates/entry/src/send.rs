//! One attempt at one agent.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use stairhinge::poison::Suspicion;
use stairhinge::request::{Attempt, Failure};
use stairhinge::{Code, Ran};
use stairhinge_shell::http::{Body, CallError, full, headers};

use crate::Entry;
use crate::checked_request::{Aim, CheckedRequest};
use crate::choose::Chosen;

/// A failed attempt, and when to come back if the agent said so.
pub(crate) struct FailedAttempt {
    pub(crate) failure: Failure,
    pub(crate) back: Option<Duration>,
}

impl From<Failure> for FailedAttempt {
    fn from(failure: Failure) -> FailedAttempt {
        FailedAttempt { failure, back: None }
    }
}

/// Counts a request at an agent until it is dropped.
pub(crate) struct InFlight {
    entry: Arc<Entry>,
    name: Arc<str>,
}

impl InFlight {
    pub(crate) fn new(entry: &Arc<Entry>, name: &Arc<str>) -> InFlight {
        entry.seat(name, |s| s.mine += 1);
        InFlight { entry: Arc::clone(entry), name: Arc::clone(name) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.seat(&self.name, |s| s.mine = s.mine.saturating_sub(1));
    }
}

impl Entry {
    /// Sends one attempt and returns the head of its answer.
    pub(crate) async fn send(
        &self,
        ask: &CheckedRequest,
        chosen: &Chosen,
        attempt: &Attempt,
        incarnation: u64,
        suspicion: Suspicion,
        within: Duration,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let request = self.request(ask, attempt, incarnation, suspicion);
        let request = request.map_err(|err| {
            log::error!("request: {err}");
            Failure::Unsent
        })?;
        let sent = self.node.client().send(chosen.http, request, within).await;
        let response = match sent {
            Ok(response) => response,
            Err(err) => {
                log::debug!("{}: {err}", chosen.name);
                let now = self.node.now();
                self.seat(&chosen.name, |s| s.health.record_failure(now));
                return Err(FailedAttempt::from(match err {
                    CallError::Unsent(_) => Failure::Unsent,
                    CallError::Silent(_) => Failure::NoResponse,
                }));
            }
        };
        self.learn(chosen, response.headers());
        match code(response.headers()) {
            None => {
                self.seat(&chosen.name, |s| s.health.record_success());
                Ok(response)
            }
            Some(code) => {
                let map = response.headers();
                let failure = self.refused(chosen, code, map);
                let back = number(map, "retry-after").map(Duration::from_secs);
                Err(FailedAttempt { failure, back })
            }
        }
    }

    fn request(
        &self,
        ask: &CheckedRequest,
        attempt: &Attempt,
        incarnation: u64,
        suspicion: Suspicion,
    ) -> Result<Request<Body>, hyper::http::Error> {
        let revision = self.node.view().revision();
        let priority = ask.workspace.priority();
        let mut request = Request::builder()
            .method(ask.method.clone())
            .uri(&ask.path)
            .header(headers::ATTEMPT, attempt.as_str())
            .header(headers::INCARNATION, incarnation)
            .header(headers::REVISION, revision)
            .header(headers::FINGERPRINT, ask.fingerprint.to_string())
            .header(headers::SUSPICION, suspicion.to_string())
            .header(headers::ENGINE_PRIORITY, priority.to_string());
        if let Some(kind) = &ask.kind {
            request = request.header("content-type", kind);
        }
        if let Aim::Model(model) = &ask.aim {
            request = request.header(headers::MODEL, &**model);
        }
        if let Some(key) = &ask.key {
            request = request.header(headers::KEY, key.as_str());
        }
        if !ask.repeatable {
            request = request.header(headers::REPEATABLE, "false");
        }
        request.body(full(ask.body.clone()))
    }

    /// Takes note of what each answer says of its agent.
    fn learn(&self, chosen: &Chosen, map: &HeaderMap) {
        let number = |name| number(map, name);
        let load = number(headers::LOAD);
        let incarnation = number(headers::INCARNATION);
        self.seat(&chosen.name, |seat| {
            if let Some(load) = load {
                seat.told = load as u32;
            }
            if incarnation > seat.incarnation {
                seat.incarnation = incarnation;
                seat.leaves = false;
            }
        });
    }

    fn refused(
        &self,
        chosen: &Chosen,
        code: Code,
        map: &HeaderMap,
    ) -> Failure {
        let name = &chosen.name;
        match code {
            Code::Leaving => self.seat(name, |s| s.leaves = true),
            Code::Behind => {
                let revision = number(map, headers::REVISION);
                if revision != Some(self.node.view().revision()) {
                    self.node.meet(chosen.control);
                }
            }
            Code::NotServing | Code::Overloaded => self.send_away(name),
            // The guard's word, or the lack of it, is not this agent's fault,
            // nor is a request that ends backend servers.
            Code::Quarantined
            | Code::GuardUnreachable
            | Code::GuardForgetful
            | Code::GuardFull
            | Code::DuplicateRunning
            | Code::DuplicateRan => {}
            _ => {
                let now = self.node.now();
                self.seat(name, |s| s.health.record_failure(now));
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

fn code(map: &HeaderMap) -> Option<Code> {
    let num = number(map, headers::CODE)?;
    Code::from_number(u16::try_from(num).ok()?)
}

fn number(map: &HeaderMap, name: &str) -> Option<u64> {
    map.get(name)?.to_str().ok()?.parse().ok()
}
