//! How requests and answers are spelled on the wire.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{StatusCode, http};
use stairhinge::placing::{RateLimit, RetryAfter};
use stairhinge::{Code, Error};

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// The request's id; each of a caller's own attempts has one.
    pub id: Arc<str>,
    /// The key that names its workspace.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The model that it is for.
    pub model: Option<Arc<str>>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it is guessed to generate.
    pub answer_tokens: u32,
    /// The last event that the caller has of a stream it takes up again.
    pub after_event: Option<u64>,
}

/// What one attempt tells the replica beside the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The replica that is meant; another one has to decline.
    pub incarnation: &'a str,
    /// The time that is left.
    pub left: Duration,
    /// The workspace that the caller's key names.
    pub workspace: Option<&'a str>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The only version of weights that may answer, if any will not do.
    pub version: Option<u64>,
    /// The last event that the caller has.
    pub after_event: Option<u64>,
}

/// What the head of an answer is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The replica's answer to this request.
    Answer {
        /// The version of weights that it comes from.
        version: Option<u64>,
    },
    /// The replica says that it did not run the request.
    Declined,
    /// It did not run it, since it is another replica or has another version
    /// than it was meant for.
    Misdirected,
    /// It belongs to another request, or to none.
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

/// The spelling of requests and answers.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Code::BadHeader`] for a value outside its range.
    fn parse_request(
        &self,
        head: &http::request::Parts,
    ) -> Result<CallerRequest, Error>;

    /// Writes what an attempt tells the replica over the caller's headers.
    fn set_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Judges the head of an answer to the request of this id.
    fn classify_response(
        &self,
        id: &str,
        head: &http::response::Parts,
    ) -> ResponseKind;

    /// Decodes information about the replica from the head of its answer.
    fn read_notice(&self, head: &http::response::Parts) -> ReplicaNotice;

    /// Writes when the caller of a refused request may come back.
    fn set_retry_after(&self, headers: &mut HeaderMap, span: Duration);
}

/// The product's own spelling.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

const ID: HeaderName = HeaderName::from_static("stairhinge-request");
const KEY: HeaderName = HeaderName::from_static("stairhinge-key");
const DEADLINE: HeaderName = HeaderName::from_static("stairhinge-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("stairhinge-model");
const AFTER: HeaderName = HeaderName::from_static("stairhinge-after-event");
const WORKSPACE: HeaderName = HeaderName::from_static("stairhinge-workspace");
const INCARNATION: HeaderName =
    HeaderName::from_static("stairhinge-incarnation");
const PRIORITY: HeaderName = HeaderName::from_static("stairhinge-priority");
const VERSION: HeaderName = HeaderName::from_static("stairhinge-version");
const LIMIT: HeaderName = HeaderName::from_static("stairhinge-limit");
const LEAVING: HeaderName = HeaderName::from_static("stairhinge-leaving");
const RAN: HeaderName = HeaderName::from_static("stairhinge-ran");

/// Returns a header's text, if it is there and is text.
pub fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> &'a str {
    map.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
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

fn number(map: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Error> {
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
        let timeout = number(map, &DEADLINE)?.map(Duration::from_millis);
        Ok(CallerRequest {
            id: Arc::from(header_text(map, &ID)),
            key: optional(&KEY),
            timeout,
            model: optional(&MODEL),
            after_event: number(map, &AFTER)?,
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
            map.insert(AFTER, HeaderValue::from(event));
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

    fn set_retry_after(&self, headers: &mut HeaderMap, span: Duration) {
        // The header counts whole seconds; rounding up never calls a caller
        // back too early.
        let seconds = span.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
}
