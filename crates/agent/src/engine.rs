//! A client for the published control protocol of model engines.
//!
//! `GET /engine` returns the engine's state. `POST /engine/load`,
//! `/engine/unload` and `/engine/role` are orders that carry a fencing token.
//! A load order names the chunks and the address to read them from. Loading
//! what is already loaded has no cost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use serde::{Deserialize, Serialize};
use stairhinge::serving::Fence;
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::http::{Body, CallError, Client, full, headers, read};

/// The timeout for reading an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for an order; loading takes the longest.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// The maximum size of an engine's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The body of an engine's answer to `GET /engine`.
#[derive(Clone, Debug, Deserialize)]
struct Told {
    fence: String,
    loaded: String,
    manifests: Vec<Digest>,
}

/// The state of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct State {
    /// The highest fence of an order that it has accepted.
    pub(crate) fence: Fence,
    /// The fence of the order that loaded the current target.
    pub(crate) loaded: Fence,
    /// The manifests of the loaded target; empty if none is loaded.
    pub(crate) manifests: Vec<Digest>,
}

/// The body of a load order.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Load {
    pub(crate) model: Arc<str>,
    pub(crate) version: Arc<str>,
    pub(crate) manifests: Vec<Digest>,
    pub(crate) chunks: Vec<Digest>,
    pub(crate) source: SocketAddr,
}

/// Asks an engine for its state.
pub(crate) async fn state(
    client: &Client,
    addr: SocketAddr,
) -> Result<State, Error> {
    let (status, _, bytes) =
        client.get(addr, "/engine", MAX_ANSWER_BYTES, STATE_TIMEOUT).await?;
    if status != 200 {
        return Err(engine_lost(addr, &format!("status {status}")));
    }
    let answer: Told =
        serde_json::from_slice(&bytes).map_err(|e| engine_lost(addr, &e))?;
    Ok(State {
        fence: answer.fence.parse()?,
        loaded: answer.loaded.parse()?,
        manifests: answer.manifests,
    })
}

/// Orders an engine to load a target.
pub(crate) async fn load(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
    load: &Load,
) -> Result<(), Error> {
    let json =
        serde_json::to_vec(load).map_err(|e| Error::new(Code::Internal, e))?;
    send_order(client, addr, "/engine/load", fence, json).await
}

/// Orders an engine to keep its role, so that it stores the fence.
pub(crate) async fn role(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
) -> Result<(), Error> {
    send_order(client, addr, "/engine/role", fence, Vec::new()).await
}

/// Orders an engine to unload its target.
pub(crate) async fn unload(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
) -> Result<(), Error> {
    send_order(client, addr, "/engine/unload", fence, Vec::new()).await
}

async fn send_order(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    fence: Fence,
    json: Vec<u8>,
) -> Result<(), Error> {
    let request: Request<Body> = Request::post(path)
        .header(headers::FENCE, fence.to_string())
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let response = client
        .send(addr, request, ORDER_TIMEOUT)
        .await
        .map_err(|e: CallError| engine_lost(addr, &e))?;
    let status = response.status().as_u16();
    let body =
        read(response.into_body(), MAX_ANSWER_BYTES, STATE_TIMEOUT).await?;
    match status {
        200 => Ok(()),
        409 => Err(Error::new(
            Code::EngineRefused,
            format_args!("{addr} refused the order with fence {fence}"),
        )),
        other => {
            let why = String::from_utf8_lossy(&body);
            Err(engine_lost(addr, &format!("status {other}: {why}")))
        }
    }
}

fn engine_lost(addr: SocketAddr, why: &dyn std::fmt::Display) -> Error {
    Error::new(Code::EngineLost, format_args!("{addr}: {why}"))
}
