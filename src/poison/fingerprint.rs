//! Fingerprints of requests and of parts of their prompts, which all entries
//! compute alike.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Code, Error};

/// The properties that identify a request across repetitions.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The host to which it is addressed.
    pub host: &'a str,
    /// The path, including the query.
    pub path: &'a str,
    /// The client that sends it.
    pub caller: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A hash of a request's [`Identity`], which is the same for all repetitions,
/// or of a part of a prompt, which is the same for all requests with it.
///
/// # Examples
///
/// ```
/// use stairhinge::poison::{Fingerprint, Identity};
///
/// let request =
///     Identity { host: "a", path: "/x", caller: "alice", body: b"" };
/// let other = Identity { caller: "bob", ..request };
/// assert_eq!(Fingerprint::of(&request), Fingerprint::of(&request));
/// assert_ne!(Fingerprint::of(&request), Fingerprint::of(&other));
/// ```
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The bit that tells parts of prompts from requests.
    const PART: u128 = 1 << 127;

    /// Returns the fingerprint of a request.
    pub fn of(request: &Identity<'_>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for text in [request.host, request.path, request.caller] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(request.body);
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        Fingerprint(u128::from_be_bytes(hash) & !Fingerprint::PART)
    }

    /// Returns the fingerprint of a request that has the list of its prompt's
    /// parts beside its body.
    #[must_use]
    pub fn with_prompt(self, prompt: &str) -> Fingerprint {
        if prompt.is_empty() {
            return self;
        }
        let mut hash = [0; 16];
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_be_bytes()).update(prompt.as_bytes());
        hasher.finalize_xof().fill(&mut hash);
        Fingerprint(u128::from_be_bytes(hash) & !Fingerprint::PART)
    }

    /// Returns the fingerprint of a part of a prompt.
    pub fn of_part(name: &str) -> Fingerprint {
        let mut hash = [0; 16];
        let mut hasher = blake3::Hasher::new();
        hasher.update(name.as_bytes()).finalize_xof().fill(&mut hash);
        Fingerprint(u128::from_be_bytes(hash) | Fingerprint::PART)
    }

    /// Returns whether it is that of a part of a prompt.
    pub const fn is_part(self) -> bool {
        self.0 & Fingerprint::PART != 0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(s: &str) -> Result<Fingerprint, Error> {
        let is_hex = s.len() == 32 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = u128::from_str_radix(s, 16).ok().filter(|_| is_hex);
        hash.map(Fingerprint).ok_or_else(|| {
            let why = format!("{s:?}, allowed: 32 hex digits");
            Error::new(Code::MalformedJson, why)
        })
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(
        d: D,
    ) -> Result<Fingerprint, D::Error> {
        let s = String::deserialize(d)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}
