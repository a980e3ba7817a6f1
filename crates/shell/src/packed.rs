//! Gzip compression of documents sent between processes.
//!
//! A document of many similar records compresses to a tenth of its size. This
//! matters because the process that reads it on behalf of others sends it to
//! all of them over a single link.

use std::io::{Read as _, Write as _};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use stairhinge::{Code, Error};

/// Compresses bytes.
pub fn pack(bytes: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing into memory does not fail.
    let written = encoder.write_all(bytes);
    let packed = written.and_then(|()| encoder.finish());
    Bytes::from(packed.unwrap_or_default())
}

/// Decompresses bytes, up to a size of `max_bytes` bytes.
///
/// # Errors
///
/// [`Code::OtherDigest`] if the input is not a complete gzip stream, or holds
/// more than `max_bytes` bytes.
pub fn unpack(packed: &[u8], max_bytes: usize) -> Result<Bytes, Error> {
    let wrong = |why: String| Error::new(Code::OtherDigest, why);
    let mut bytes = Vec::new();
    let mut decoder = GzDecoder::new(packed).take(max_bytes as u64 + 1);
    decoder
        .read_to_end(&mut bytes)
        .map_err(|e| wrong(format!("a packed document: {e}")))?;
    if bytes.len() > max_bytes {
        return Err(wrong(format!(
            "a packed document over {max_bytes} bytes"
        )));
    }
    Ok(Bytes::from(bytes))
}
