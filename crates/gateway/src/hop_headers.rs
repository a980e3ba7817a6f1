//! Headers and statuses that are not passed on as they are.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern one connection only.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            named.extend(name.trim().parse::<HeaderName>());
        }
    }
    for name in named {
        if name != HOST {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether an answer with these headers shows where it ends. One that
/// ends with its connection looks whole also where its sender was lost.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Statuses by which a caller is told that a request did not run.
pub(crate) const fn means_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
