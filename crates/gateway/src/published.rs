//! Asking an entry for what is published, as it has learned it.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use hyper::header::CONTENT_TYPE;
use stairhinge::{Code, Error};
use stairhinge_shell::directory::{SharedAnswer, SharedQuestion};
use stairhinge_shell::http::{Client, full, read};

/// The path at which an entry answers other processes.
pub(crate) const PUBLISHED: &str = "/published";

/// The largest answer, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// How long an answer may take to a question that waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(1_000);

/// Why an entry told nothing of use.
#[derive(Debug)]
pub enum FetchError {
    /// It did not answer.
    Failed(Error),
    /// It answered, and knows nothing new enough.
    Stale(Error),
}

impl FetchError {
    /// Returns what came back.
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

/// Asks one entry, and takes nothing old from it.
///
/// # Errors
///
/// [`FetchError::Failed`] if the entry does not answer within twice
/// `wait_ms`, [`FetchError::Stale`] if its answer is older than the question
/// allows or than what the caller knows.
pub async fn fetch_published(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, FetchError> {
    let answer = call(client, entry, question).await?;
    if question.after.is_some_and(|after| after > answer.at) {
        return Err(stale(format!("it is behind, at {}", answer.at)));
    }
    // Newer routes are worth taking however old the rest is: they only
    // go forward.
    if answer.age_ms > question.most_age_ms
        && !answer.has_newer_routes(question)
    {
        let (age, most) = (answer.age_ms, question.most_age_ms);
        return Err(stale(format!("its news are {age} ms old, over {most}")));
    }
    Ok(answer)
}

async fn call(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, FetchError> {
    // An answer that takes twice as long as it waits at most has lost its
    // way.
    let wait = Duration::from_millis(question.wait_ms);
    let within = if wait.is_zero() { AT_ONCE } else { wait * 2 };
    let json = serde_json::to_vec(question)
        .map_err(|e| Error::new(Code::Internal, e))?;
    let request = Request::post(PUBLISHED)
        .header(CONTENT_TYPE, "application/json")
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let response =
        client.send(entry, request, within).await.map_err(failed)?;
    if !response.status().is_success() {
        return Err(stale(format!("answers {}", response.status())));
    }
    let bytes = read(response.into_body(), MOST_ANSWER, within).await?;
    let answer = serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))?;
    Ok(answer)
}
