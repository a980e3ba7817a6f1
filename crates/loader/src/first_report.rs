//! Reads a single report from the feed of a peer.

use std::net::SocketAddr;

use http_body_util::BodyExt as _;
use hyper::Request;
use stairhinge::{Code, Error};
use stairhinge_chunks::STALL_TIMEOUT;
use stairhinge_gateway::EngineReport;
use stairhinge_shell::http::{Client, empty};

/// Returns the report in the first line of a peer's feed.
///
/// # Errors
///
/// [`Code::NoSource`] if the peer does not answer with a valid report.
pub(crate) async fn first_report(
    client: &Client,
    addr: SocketAddr,
) -> Result<EngineReport, Error> {
    let no_source =
        |reason: &dyn std::fmt::Display| Error::new(Code::NoSource, reason);
    let request =
        Request::get("/feed").body(empty()).map_err(|e| no_source(&e))?;
    let response = client
        .send(addr, request, STALL_TIMEOUT)
        .await
        .map_err(|e| no_source(&e))?;
    let mut body = response.into_body();
    let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
    let frame = frame.map_err(|e| no_source(&e))?;
    let frame = frame
        .ok_or_else(|| no_source(&"the feed ended before its first line"))?;
    let data =
        frame.map_err(|e| no_source(&e))?.into_data().unwrap_or_default();
    let line = data.split(|b| *b == b'\n').next().unwrap_or_default();
    serde_json::from_slice(line).map_err(|e| no_source(&e))
}
