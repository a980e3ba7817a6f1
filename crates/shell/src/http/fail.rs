//! JSON responses, and error responses with numbered codes.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use stairhinge::{Error, Ran};

use super::{Body, full, headers};

/// The final error response to a request.
#[derive(Clone, Debug)]
pub struct Failed {
    error: Error,
    ran: Ran,
    retry_after: Option<Duration>,
}

impl Failed {
    /// Returns the response to an error.
    ///
    /// Whether the request ran follows from the error's code; where the code
    /// does not determine it, the response says "may have run".
    pub fn new(error: Error) -> Failed {
        let ran = error.code().ran().unwrap_or(Ran::MayHaveRun);
        Failed { error, ran, retry_after: None }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Failed {
        self.ran = ran;
        self
    }

    /// Sets the time after which the caller may retry (`Retry-After`).
    #[must_use]
    pub fn with_retry_after(mut self, span: Duration) -> Failed {
        self.retry_after = Some(span);
        self
    }

    /// Returns the error.
    pub fn error(&self) -> &Error {
        &self.error
    }

    /// Returns whether the request ran.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the time after which the caller may retry, if one is set.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the JSON body of the response.
    pub fn json(&self) -> String {
        json!({"error": {
            "code": self.error.code().number(),
            "name": self.error.code().name(),
            "message": self.error.message(),
            "ran": self.ran.as_str(),
        }})
        .to_string()
    }

    /// Returns the HTTP response to send.
    pub fn response(&self) -> Response<Body> {
        let code = self.error.code();
        let status = StatusCode::from_u16(code.status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = answer(status, self.json());
        let map = response.headers_mut();
        map.insert(headers::CODE, HeaderValue::from(code.number()));
        map.insert(headers::RAN, HeaderValue::from_static(self.ran.as_str()));
        if let Some(span) = self.retry_after {
            // `Retry-After` is in whole seconds. Rounding up avoids a retry
            // before the time is over.
            let secs = span.as_millis().div_ceil(1000).max(1) as u64;
            map.insert(RETRY_AFTER, HeaderValue::from(secs));
        }
        response
    }
}

impl From<Error> for Failed {
    fn from(error: Error) -> Failed {
        Failed::new(error)
    }
}

/// Returns a JSON response.
pub fn answer(status: StatusCode, json: String) -> Response<Body> {
    let mut response = Response::new(full(json));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
