//! The error type of the project.
//!
//! [`Error`] is opaque: it has a numbered code, a message and a chain of
//! causes. [`Error::range`] builds the message of an out-of-range value, so
//! that it always names the value and what is allowed.

use std::error::Error as StdError;
use std::fmt;

use crate::Code;

/// An error with a numbered code, a message and an optional cause.
#[derive(Clone, Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, Debug)]
struct Inner {
    code: Code,
    message: String,
    cause: Option<Error>,
}

impl Error {
    /// Returns an error with a code and a message.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::{Code, Error};
    ///
    /// let err = Error::new(Code::UnknownModel, "model \"x\"");
    /// assert_eq!(err.to_string(), "1005: model \"x\"");
    /// ```
    pub fn new(code: Code, message: impl fmt::Display) -> Error {
        let message = message.to_string();
        Error { inner: Box::new(Inner { code, message, cause: None }) }
    }

    /// Returns a [`Code::OutOfRange`] error that names the field, its value
    /// and the allowed values.
    pub fn range(
        field: &str,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Error {
        Error::new(
            Code::OutOfRange,
            format_args!("{field} is {value}, allowed: {allowed}"),
        )
    }

    /// Returns this error with `cause` as its cause, replacing an earlier one.
    ///
    /// The cause gets the code of this error.
    #[must_use]
    pub fn with_cause(mut self, cause: impl fmt::Display) -> Error {
        let cause = Error::new(self.code(), cause);
        self.inner.cause = Some(cause);
        self
    }

    /// Returns the code.
    pub fn code(&self) -> Code {
        self.inner.code
    }

    /// Returns the message, without the code and the causes.
    pub fn message(&self) -> &str {
        &self.inner.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.inner.code, self.inner.message)?;
        let mut next = &self.inner.cause;
        while let Some(cause) = next {
            write!(f, ": {}", cause.inner.message)?;
            next = &cause.inner.cause;
        }
        Ok(())
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        self.inner.cause.as_ref().map(|c| c as &dyn StdError)
    }
}
