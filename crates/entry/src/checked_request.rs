//! Parses and checks callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use stairhinge::declaration::{Fleet, Workspace};
use stairhinge::poison::{Fingerprint, Identity, RequestFeatures};
use stairhinge::request::Key;
use stairhinge::{Code, Error, Time};
use stairhinge_shell::http::headers;

/// The model or service that a request asks for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Requested {
    /// A model.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
}

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub(crate) struct CheckedRequest {
    pub(crate) requested: Requested,
    pub(crate) method: Method,
    /// Path and query, as sent to the agent.
    pub(crate) path: String,
    pub(crate) content_type: Option<hyper::header::HeaderValue>,
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<Key>,
    pub(crate) workspace: Workspace,
    pub(crate) deadline: Time,
    /// Identify the content of the request, and the parts of its prompt; the
    /// same for all its attempts.
    pub(crate) features: RequestFeatures,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<Arc<str>>,
}

/// The fields of a chat request that the entry reads; the others are left to
/// the engine.
#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// The path of chat requests.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// The workspace of a request that sets none.
const DEFAULT_WORKSPACE: &str = "default";

impl CheckedRequest {
    /// Checks a request against the declaration. `max_deadline` is the longest
    /// deadline that a request may set, and the deadline of one that sets
    /// none.
    pub(crate) fn check(
        parts: &Parts,
        body: Bytes,
        fleet: &Fleet,
        now: Time,
        max_deadline: Duration,
    ) -> Result<CheckedRequest, Error> {
        let workspace = workspace(&parts.headers, fleet)?;
        let deadline = deadline(&parts.headers, max_deadline)?;
        let key = match header_text(&parts.headers, headers::KEY)? {
            Some(text) => Some(Key::new(workspace.name(), text)?),
            None => None,
        };
        let path = parts.uri.path();
        let (requested, stream, default_repeatable) =
            match path.strip_prefix("/services/") {
                Some(rest) => parse_service(rest, fleet)?,
                None => parse_chat(parts, &body, fleet)?,
            };
        let content_type = parts.headers.get("content-type").cloned();
        let method = parts.method.clone();
        let repeatable =
            repeatable_header(&parts.headers)?.unwrap_or(default_repeatable);
        let path = parts.uri.path_and_query();
        let path = path.map_or(CHAT_PATH.into(), ToString::to_string);
        let fingerprint = Fingerprint::of(&Identity {
            host: "",
            path: &path,
            caller: workspace.name(),
            body: &body,
        });
        let parts = prompt_parts(&parts.headers)?;
        let names = parts.iter().map(|part| &**part);
        let prompt = parts.join(",");
        let features =
            RequestFeatures::new(fingerprint.with_prompt(&prompt), names);
        Ok(CheckedRequest {
            requested,
            method,
            path,
            features,
            parts,
            content_type,
            body,
            stream,
            repeatable,
            key,
            workspace,
            deadline: now.after(deadline),
        })
    }
}

/// Returns the requested service, `false` because its answers are not
/// streamed, and whether its requests are repeatable.
fn parse_service(
    rest: &str,
    fleet: &Fleet,
) -> Result<(Requested, bool, bool), Error> {
    let name = rest.split('/').next().unwrap_or_default();
    let service = fleet.service(name).ok_or_else(|| {
        let known = fleet.services().iter().map(|s| &**s.name());
        Error::new(Code::UnknownService, unknown_name("service", name, known))
    })?;
    let requested = Requested::Service(Arc::clone(service.name()));
    Ok((requested, false, service.repeatable()))
}

/// Returns the requested model, whether to stream the answer, and whether
/// requests to the model are repeatable.
fn parse_chat(
    parts: &Parts,
    body: &Bytes,
    fleet: &Fleet,
) -> Result<(Requested, bool, bool), Error> {
    if parts.uri.path() != CHAT_PATH {
        let why = format!("no such path: {}", parts.uri.path());
        return Err(Error::new(Code::UnknownPath, why));
    }
    if parts.method != Method::POST {
        let why = format!("{} {CHAT_PATH}, allowed: POST", parts.method);
        return Err(Error::new(Code::WrongMethod, why));
    }
    let chat: Chat = serde_json::from_slice(body)
        .map_err(|e| Error::new(Code::MalformedJson, e))?;
    let model = fleet.model(&chat.model).ok_or_else(|| {
        let known = fleet.models().iter().map(|m| &**m.name());
        Error::new(
            Code::UnknownModel,
            unknown_name("model", &chat.model, known),
        )
    })?;
    let requested = Requested::Model(Arc::clone(model.name()));
    Ok((requested, chat.stream, model.repeatable()))
}

fn unknown_name<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    let known: Vec<&str> = known.collect();
    format!("{what} \"{name}\", allowed: {}", known.join(", "))
}

/// Returns the parts of the prompt that other requests may share.
fn prompt_parts(map: &HeaderMap) -> Result<Vec<Arc<str>>, Error> {
    let text = header_text(map, headers::PROMPT_PARTS)?.unwrap_or_default();
    let parts = text.split(',').map(str::trim);
    Ok(parts.filter(|part| !part.is_empty()).map(Arc::from).collect())
}

fn workspace(map: &HeaderMap, fleet: &Fleet) -> Result<Workspace, Error> {
    let Some(name) = header_text(map, headers::WORKSPACE)? else {
        let known = fleet.workspace(DEFAULT_WORKSPACE).cloned();
        return Ok(
            known.unwrap_or_else(|| Workspace::new(DEFAULT_WORKSPACE, 1, 5))
        );
    };
    fleet.workspace(name).cloned().ok_or_else(|| {
        let why =
            format!("workspace \"{name}\", allowed: a declared workspace");
        Error::new(Code::UnknownWorkspace, why)
    })
}

fn deadline(
    map: &HeaderMap,
    max_deadline: Duration,
) -> Result<Duration, Error> {
    let Some(value) = header_text(map, headers::DEADLINE)? else {
        return Ok(max_deadline);
    };
    let max_ms = max_deadline.as_millis() as u64;
    match value.parse::<u64>() {
        Ok(ms) if (1..=max_ms).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let why = format!(
                "{} is \"{value}\", allowed: 1 to {max_ms}",
                headers::DEADLINE
            );
            Err(Error::new(Code::BadHeader, why))
        }
    }
}

fn repeatable_header(map: &HeaderMap) -> Result<Option<bool>, Error> {
    match header_text(map, headers::REPEATABLE)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(other) => {
            let why = format!(
                "{} is \"{other}\", allowed: true, false",
                headers::REPEATABLE
            );
            Err(Error::new(Code::BadHeader, why))
        }
    }
}

fn header_text<'a>(
    map: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Error> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        Error::new(Code::BadHeader, format!("{name} is not visible ASCII"))
    })?;
    Ok(Some(text))
}
