//! The encoding of requests and answers in HTTP headers.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{StatusCode, http};
use stairhinge::placing::{RateLimit, RetryAfter};
use stairhinge::{Code, Error};

/// The contents of the head of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// The request's id. Each of a caller's own attempts has a different one.
    pub id: Arc<str>,
    /// The key that identifies the caller's workspace.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The requested model.
    pub model: Option<Arc<str>>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: Vec<Arc<str>>,
    /// The list of all parts as the caller sent it, or an empty string.
    pub prompt: Arc<str>,
    /// The estimated number of tokens of the answer.
    pub answer_tokens: u32,
    /// The id of the last event that the caller received, if it resumes a
    /// stream.
    pub after_event: Option<u64>,
}

/// The data that an attempt adds to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The incarnation of the addressed replica; any other has to decline.
    pub incarnation: &'a str,
    /// The time until the request's deadline.
    pub left: Duration,
    /// The workspace of the caller's key.
    pub workspace: Option<&'a str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The required weight version, or `None` if any version may answer.
    pub version: Option<u64>,
    /// The id of the last event that the caller received.
    pub after_event: Option<u64>,
}

/// The classification of an answer by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The replica's answer to this request.
    Answer {
        /// The weight version that produced it.
        version: Option<u64>,
    },
    /// The replica states that it did not run the request.
    Declined,
    /// The request did not run, since it reached another replica than the
    /// addressed one, or one with another weight version.
    Misdirected,
    /// The answer belongs to another request or to none.
    Unrelated,
}

impl ResponseKind {
    /// Returns whether the answer comes from the replica that the request was
    /// addressed to.
    pub const fn is_from_intended_replica(self) -> bool {
        matches!(self, ResponseKind::Answer { .. } | ResponseKind::Declined)
    }
}

/// Information about the sending replica, decoded from an answer's head.
///
/// Each field is decoded independently, so an invalid value does not discard
/// the valid ones.
#[derive(Clone, Debug)]
pub struct ReplicaNotice {
    /// The rate limit for all entries together, or `None` if the answer does
    /// not set one.
    pub limit: Result<Option<RateLimit>, Error>,
    /// Whether the answer announces that the replica is leaving.
    pub leaving: Result<bool, Error>,
    /// How long this entry should send the replica no requests, or `None` if
    /// the answer is not a 503 or does not say.
    pub retry_after: Result<Option<RetryAfter>, Error>,
}

/// Decodes and encodes the headers of requests and answers.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Code::BadHeader`] for a value outside its range.
    fn parse_request(
        &self,
        head: &http::request::Parts,
    ) -> Result<CallerRequest, Error>;

    /// Sets an attempt's headers, and removes those that are meant for the
    /// entry only.
    fn set_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Classifies an answer to the request with this id by its head.
    fn classify_response(
        &self,
        id: &str,
        head: &http::response::Parts,
    ) -> ResponseKind;

    /// Decodes information about the replica from the head of its answer.
    fn read_notice(&self, head: &http::response::Parts) -> ReplicaNotice;

    /// Sets the time after which the caller of a refused request may retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, delay: Duration);
}

/// The default dialect, with `stairhinge-*` headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

const ID: HeaderName = HeaderName::from_static("stairhinge-request");
const KEY: HeaderName = HeaderName::from_static("stairhinge-key");
const DEADLINE: HeaderName = HeaderName::from_static("stairhinge-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("stairhinge-model");
const PROMPT_PARTS: HeaderName =
    HeaderName::from_static("stairhinge-prompt-parts");
const AFTER_EVENT: HeaderName =
    HeaderName::from_static("stairhinge-after-event");
const WORKSPACE: HeaderName = HeaderName::from_static("stairhinge-workspace");
const INCARNATION: HeaderName =
    HeaderName::from_static("stairhinge-incarnation");
const PRIORITY: HeaderName = HeaderName::from_static("stairhinge-priority");
const VERSION: HeaderName = HeaderName::from_static("stairhinge-version");
const LIMIT: HeaderName = HeaderName::from_static("stairhinge-limit");
const LEAVING: HeaderName = HeaderName::from_static("stairhinge-leaving");
const RAN: HeaderName = HeaderName::from_static("stairhinge-ran");

/// Returns a header's value, or an empty string if it is absent or not text.
pub fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> &'a str {
    map.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Returns the items of a header's comma-separated list, without empty ones.
pub fn header_items(map: &HeaderMap, name: &HeaderName) -> Vec<Arc<str>> {
    let items = header_text(map, name).split(',').map(str::trim);
    items.filter(|item| !item.is_empty()).map(Arc::from).collect()
}

/// Parses a header's value; returns `None` if the header is absent.
///
/// # Errors
///
/// The error of `T`'s [`FromStr`] implementation for an invalid value.
pub fn parse_header<T: FromStr<Err = Error>>(
    map: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, Error> {
    if !map.contains_key(name) {
        return Ok(None);
    }
    header_text(map, name).parse().map(Some)
}

/// Parses a header whose value is `0` or `1`; returns `false` if the header
/// is absent.
///
/// # Errors
///
/// [`Code::BadHeader`] for any other value.
pub fn parse_flag(map: &HeaderMap, name: &HeaderName) -> Result<bool, Error> {
    if !map.contains_key(name) {
        return Ok(false);
    }
    match header_text(map, name) {
        "0" => Ok(false),
        "1" => Ok(true),
        other => Err(Error::new(
            Code::BadHeader,
            format_args!("{name} is {other:?}, allowed: 0 and 1"),
        )),
    }
}

/// Parses the `Retry-After` header of a 503 answer; returns `None` for other
/// statuses and if the header is absent.
///
/// # Errors
///
/// [`Code::BadHeader`] for a malformed value, and [`Code::OutOfRange`] for a
/// value outside its range.
pub fn parse_retry_after(
    head: &http::response::Parts,
) -> Result<Option<RetryAfter>, Error> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    parse_header(&head.headers, &RETRY_AFTER)
}

fn parse_number(
    map: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<u64>, Error> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let text = value.to_str().unwrap_or("");
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(Error::new(
            Code::BadHeader,
            format_args!("{name} is {text:?}, allowed: a whole number"),
        )),
    }
}

impl Dialect for PlainDialect {
    fn parse_request(
        &self,
        head: &http::request::Parts,
    ) -> Result<CallerRequest, Error> {
        let map = &head.headers;
        let optional = |name| {
            let value = header_text(map, name);
            (!value.is_empty()).then(|| Arc::from(value))
        };
        let timeout = parse_number(map, &DEADLINE)?.map(Duration::from_millis);
        Ok(CallerRequest {
            id: Arc::from(header_text(map, &ID)),
            key: optional(&KEY),
            timeout,
            model: optional(&MODEL),
            parts: header_items(map, &PROMPT_PARTS),
            prompt: Arc::from(header_text(map, &PROMPT_PARTS)),
            after_event: parse_number(map, &AFTER_EVENT)?,
            ..CallerRequest::default()
        })
    }

    fn set_headers(&self, map: &mut HeaderMap, attempt: &Attempt<'_>) {
        map.remove(KEY);
        map.remove(WORKSPACE);
        let left = attempt.left.as_millis() as u64;
        map.insert(DEADLINE, HeaderValue::from(left));
        map.insert(PRIORITY, HeaderValue::from(u16::from(attempt.priority)));
        if let Ok(value) = HeaderValue::from_str(attempt.incarnation) {
            map.insert(INCARNATION, value);
        }
        if let Some(name) = attempt.workspace
            && let Ok(value) = HeaderValue::from_str(name)
        {
            map.insert(WORKSPACE, value);
        }
        if let Some(version) = attempt.version {
            map.insert(VERSION, HeaderValue::from(version));
        }
        if let Some(event) = attempt.after_event {
            map.insert(AFTER_EVENT, HeaderValue::from(event));
        }
    }

    fn classify_response(
        &self,
        id: &str,
        head: &http::response::Parts,
    ) -> ResponseKind {
        if header_text(&head.headers, &ID) != id {
            return ResponseKind::Unrelated;
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return ResponseKind::Misdirected;
        }
        if header_text(&head.headers, &RAN) == "did not run" {
            return ResponseKind::Declined;
        }
        let version = header_text(&head.headers, &VERSION).parse().ok();
        ResponseKind::Answer { version }
    }

    fn read_notice(&self, head: &http::response::Parts) -> ReplicaNotice {
        ReplicaNotice {
            limit: parse_header(&head.headers, &LIMIT),
            leaving: parse_flag(&head.headers, &LEAVING),
            retry_after: parse_retry_after(head),
        }
    }

    fn set_retry_after(&self, headers: &mut HeaderMap, delay: Duration) {
        // The header has a resolution of seconds; rounding up avoids retries
        // that are too early.
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
}
