//! Headers and statuses that a proxy must not forward unchanged.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers, besides those that `Connection` names.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let mut connection_options = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            connection_options.extend(name.trim().parse::<HeaderName>());
        }
    }
    for name in connection_options {
        if name != HOST {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether an answer with these headers has explicit framing. A body
/// that is delimited by the end of its connection looks complete even if its
/// sender failed.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether callers take this status to mean that the request did not
/// run.
pub(crate) const fn means_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
