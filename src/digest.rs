//! Digests that identify chunks, manifests and documents.
//!
//! Content is addressed by its digest, so it can be verified whichever
//! process sent it. BLAKE3 is used by default since it verifies a chunk about
//! as fast as memory is read.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

use crate::{Code, Error};

/// A digest of 32 bytes: BLAKE3, or SHA-256 for the chunks of an origin that
/// identifies them by SHA-256.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the SHA-256 digest of `bytes`, as used by other systems.
    pub fn sha256(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the digest with the given 32 bytes.
    ///
    /// # Errors
    ///
    /// [`Code::BadDigest`] if there are not exactly 32 bytes.
    pub fn from_slice(bytes: &[u8]) -> Result<Digest, Error> {
        let raw = bytes.try_into().map_err(|_| {
            Error::new(
                Code::BadDigest,
                format_args!("{} bytes, allowed: 32", bytes.len()),
            )
        })?;
        Ok(Digest(raw))
    }

    /// Returns the first eight bytes as a number.
    pub const fn head(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }

    /// Returns the 32 bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for b in self.0 {
            write!(f, "{b:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Digest, Error> {
        let hash = blake3::Hash::from_hex(s).map_err(|_| {
            Error::new(
                Code::BadDigest,
                format_args!("\"{s}\", allowed: 64 hex digits"),
            )
        })?;
        Ok(Digest(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Digest, D::Error> {
        let s = String::deserialize(d)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}
