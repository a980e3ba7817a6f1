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
pub enum Unheard {
    /// It did not answer.
    Lost(Error),
    /// It answered, and knows nothing new enough.
    Old(Error),
}

impl Unheard {
    /// Returns what came back.
    pub const fn error(&self) -> &Error {
        match self {
            Unheard::Lost(error) | Unheard::Old(error) => error,
        }
    }
}

impl From<Error> for Unheard {
    fn from(error: Error) -> Unheard {
        Unheard::Lost(error)
    }
}

fn lost(why: impl ToString) -> Unheard {
    Unheard::Lost(Error::new(Code::PeerLost, why.to_string()))
}

fn old(why: impl ToString) -> Unheard {
    Unheard::Old(Error::new(Code::PeerLost, why.to_string()))
}

/// Asks one entry, and takes nothing old from it.
///
/// # Errors
///
/// [`Unheard::Lost`] if it does not answer within twice the time that the
/// question may wait there, [`Unheard::Old`] if its answer is older than the
/// question allows or than what the asker knows.
pub async fn ask_published(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, Unheard> {
    let answer = call(client, entry, question).await?;
    if question.after.is_some_and(|after| after > answer.at) {
        return Err(old(format!("it is behind, at {}", answer.at)));
    }
    // Newer routes are worth taking however old the rest is: they only
    // go forward.
    if answer.age_ms > question.most_age_ms
        && !answer.has_newer_routes(question)
    {
        let (age, most) = (answer.age_ms, question.most_age_ms);
        return Err(old(format!("its news are {age} ms old, over {most}")));
    }
    Ok(answer)
}

async fn call(
    client: &Client,
    entry: SocketAddr,
    question: &SharedQuestion,
) -> Result<SharedAnswer, Unheard> {
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
    let response = client.send(entry, request, within).await.map_err(lost)?;
    if !response.status().is_success() {
        return Err(old(format!("answers {}", response.status())));
    }
    let bytes = read(response.into_body(), MOST_ANSWER, within).await?;
    let answer = serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))?;
    Ok(answer)
}
