//! What a request asks, as a name that all entries work out alike.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Code, Error};

/// What makes two tries the same request.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The host that it is for.
    pub host: &'a str,
    /// The path, with its query.
    pub path: &'a str,
    /// Whose it is.
    pub caller: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// Names what a request asks: one name for all its tries.
///
/// # Examples
///
/// ```
/// use stairhinge::poison::{Fingerprint, Identity};
///
/// let asked = Identity { host: "a", path: "/x", caller: "desk", body: b"" };
/// let other = Identity { caller: "yard", ..asked };
/// assert_eq!(Fingerprint::of(&asked), Fingerprint::of(&asked));
/// assert_ne!(Fingerprint::of(&asked), Fingerprint::of(&other));
/// ```
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the name of what is asked.
    pub fn of(asked: &Identity<'_>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for text in [asked.host, asked.path, asked.caller] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(asked.body);
        let mut name = [0; 16];
        hasher.finalize_xof().fill(&mut name);
        Fingerprint(u128::from_be_bytes(name))
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
        let digits = s.len() == 32 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let name = u128::from_str_radix(s, 16).ok().filter(|_| digits);
        name.map(Fingerprint).ok_or_else(|| {
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
