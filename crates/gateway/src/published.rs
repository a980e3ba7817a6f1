//! Requests to an entry for the published data that it has received.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use hyper::header::CONTENT_TYPE;
use stairhinge::{Code, Error};
use stairhinge_shell::directory::{SharedAnswer, SharedQuestion};
use stairhinge_shell::http::{Client, full, read};

/// The path at which an entry serves published data to other processes.
pub(crate) const PUBLISHED_PATH: &str = "/published";

/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The timeout of a question with a `wait_ms` of 0.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an entry provided no usable data.
#[derive(Debug)]
pub enum FetchError {
    /// There was no valid answer.
    Failed(Error),
    /// It answered, but has no data that is recent enough.
    Stale(Error),
}

impl FetchError {
    /// Returns the underlying error.
    pub const fn error(&self) -> &Error {
        match self {
            FetchError::Failed(error) | FetchError::Stale(error) => error,
        }
    }
}

impl From<Error> for FetchError {
    fn from(error: Error) -> FetchError {
        FetchError::Failed(error)
    }
}

fn failed(why: impl ToString) -> FetchError {
    FetchError::Failed(Error::new(Code::PeerLost, why.to_string()))
}

fn stale(why: impl ToString) -> FetchError {
    FetchError::Stale(Error::new(Code::PeerLost, why.to_string()))
}

/// Asks an entry for published data, and rejects stale answers.
///
/// # Errors
///
/// [`FetchError::Failed`] if the entry does not answer within twice the
/// question's `wait_ms`, [`FetchError::Stale`] if its answer is older than
/// the question allows or than what the caller knows.
pub async fn fetch_published(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, FetchError> {
    let answer = request_published(client, entry, question).await?;
    if question.after.is_some_and(|after| after > answer.at) {
        return Err(stale(format!("entry is behind, at {}", answer.at)));
    }
    // Newer routes are useful however old the rest is, since their revision
    // never decreases.
    if answer.age_ms > question.most_age_ms
        && !answer.has_newer_routes(question)
    {
        let (age, most) = (answer.age_ms, question.most_age_ms);
        return Err(stale(format!("data is {age} ms old, limit {most} ms")));
    }
    Ok(answer)
}

async fn request_published(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, FetchError> {
    // An answer that takes twice the maximum wait counts as lost.
    let wait = Duration::from_millis(question.wait_ms);
    let timeout = if wait.is_zero() { IMMEDIATE_TIMEOUT } else { wait * 2 };
    let json = serde_json::to_vec(question)
        .map_err(|e| Error::new(Code::Internal, e))?;
    let request = Request::post(PUBLISHED_PATH)
        .header(CONTENT_TYPE, "application/json")
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let response =
        client.send(entry, request, timeout).await.map_err(failed)?;
    if !response.status().is_success() {
        return Err(stale(format!("entry answered {}", response.status())));
    }
    let bytes = read(response.into_body(), MAX_ANSWER_BYTES, timeout).await?;
    let answer = serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))?;
    Ok(answer)
}
