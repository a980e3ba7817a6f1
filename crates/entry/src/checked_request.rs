//! What a caller asks for, checked.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use stairhinge::declaration::{Fleet, Workspace};
use stairhinge::poison::{Fingerprint, Identity};
use stairhinge::request::Key;
use stairhinge::{Code, Error, Time};
use stairhinge_shell::http::headers;

/// Whom a request is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Aim {
    /// A model.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
}

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub(crate) struct CheckedRequest {
    pub(crate) aim: Aim,
    pub(crate) method: Method,
    /// Path and query, as the agent is to see them.
    pub(crate) path: String,
    pub(crate) kind: Option<hyper::header::HeaderValue>,
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<Key>,
    pub(crate) workspace: Workspace,
    pub(crate) deadline: Time,
    /// Names what it asks, the same for all its tries.
    pub(crate) fingerprint: Fingerprint,
}

/// The fields of a chat request that the entry reads; the rest is the
/// engine's.
#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// The path of chat requests.
pub(crate) const CHAT: &str = "/v1/chat/completions";

/// The workspace of a request that names none.
const DEFAULT: &str = "default";

impl CheckedRequest {
    /// Checks a request against the declaration. `longest` is the longest
    /// deadline, and that of a request that names none.
    pub(crate) fn check(
        parts: &Parts,
        body: Bytes,
        fleet: &Fleet,
        now: Time,
        longest: Duration,
    ) -> Result<CheckedRequest, Error> {
        let workspace = workspace(&parts.headers, fleet)?;
        let deadline = deadline(&parts.headers, longest)?;
        let key = match text(&parts.headers, headers::KEY)? {
            Some(text) => Some(Key::new(workspace.name(), text)?),
            None => None,
        };
        let path = parts.uri.path();
        let (aim, stream, usual) = match path.strip_prefix("/services/") {
            Some(rest) => service(rest, fleet)?,
            None => chat(parts, &body, fleet)?,
        };
        let repeatable = flag(&parts.headers)?.unwrap_or(usual);
        let path = parts.uri.path_and_query();
        let path = path.map_or(CHAT.into(), ToString::to_string);
        let fingerprint = Fingerprint::of(&Identity {
            host: "",
            path: &path,
            caller: workspace.name(),
            body: &body,
        });
        Ok(CheckedRequest {
            aim,
            method: parts.method.clone(),
            path,
            fingerprint,
            kind: parts.headers.get("content-type").cloned(),
            body,
            stream,
            repeatable,
            key,
            workspace,
            deadline: now.after(deadline),
        })
    }
}

fn service(rest: &str, fleet: &Fleet) -> Result<(Aim, bool, bool), Error> {
    let name = rest.split('/').next().unwrap_or_default();
    let service = fleet.service(name).ok_or_else(|| {
        let known = fleet.services().iter().map(|s| &**s.name());
        Error::new(Code::UnknownService, unknown("service", name, known))
    })?;
    let aim = Aim::Service(Arc::clone(service.name()));
    Ok((aim, false, service.repeatable()))
}

fn chat(
    parts: &Parts,
    body: &Bytes,
    fleet: &Fleet,
) -> Result<(Aim, bool, bool), Error> {
    if parts.uri.path() != CHAT {
        let why = format!("nothing at {}", parts.uri.path());
        return Err(Error::new(Code::UnknownPath, why));
    }
    if parts.method != Method::POST {
        let why = format!("{} {CHAT}, allowed: POST", parts.method);
        return Err(Error::new(Code::WrongMethod, why));
    }
    let chat: Chat = serde_json::from_slice(body)
        .map_err(|e| Error::new(Code::MalformedJson, e))?;
    let model = fleet.model(&chat.model).ok_or_else(|| {
        let known = fleet.models().iter().map(|m| &**m.name());
        Error::new(Code::UnknownModel, unknown("model", &chat.model, known))
    })?;
    let aim = Aim::Model(Arc::clone(model.name()));
    Ok((aim, chat.stream, model.repeatable()))
}

fn unknown<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    let known: Vec<&str> = known.collect();
    format!("{what} \"{name}\", allowed: {}", known.join(", "))
}

fn workspace(map: &HeaderMap, fleet: &Fleet) -> Result<Workspace, Error> {
    let Some(name) = text(map, headers::WORKSPACE)? else {
        let known = fleet.workspace(DEFAULT).cloned();
        return Ok(known.unwrap_or_else(|| Workspace::new(DEFAULT, 1, 5)));
    };
    fleet.workspace(name).cloned().ok_or_else(|| {
        let why = format!("workspace \"{name}\", allowed: those declared");
        Error::new(Code::UnknownWorkspace, why)
    })
}

fn deadline(map: &HeaderMap, longest: Duration) -> Result<Duration, Error> {
    let Some(value) = text(map, headers::DEADLINE)? else {
        return Ok(longest);
    };
    let most = longest.as_millis() as u64;
    match value.parse::<u64>() {
        Ok(ms) if (1..=most).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let why = format!(
                "{} is \"{value}\", allowed: 1 to {most}",
                headers::DEADLINE
            );
            Err(Error::new(Code::BadHeader, why))
        }
    }
}

fn flag(map: &HeaderMap) -> Result<Option<bool>, Error> {
    match text(map, headers::REPEATABLE)? {
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

fn text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        Error::new(Code::BadHeader, format!("{name} is not visible ASCII"))
    })?;
    Ok(Some(text))
}
