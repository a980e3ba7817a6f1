//! The protocol of model engines, as their makers publish it.
//!
//! `GET /engine` tells the engine's state, `POST /engine/load`,
//! `/engine/unload` and `/engine/role` are fenced orders. A load order names the chunks and
//! where to get them; loading what is loaded already costs nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use serde::{Deserialize, Serialize};
use stairhinge::serving::Fence;
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::http::{Body, CallError, Client, full, headers, read};

/// How long an engine may take to tell its state.
const STATE: Duration = Duration::from_secs(1);

/// How long an engine may take to load.
const LOAD: Duration = Duration::from_secs(600);

/// The largest answer to an order.
const MOST: usize = 1 << 20;

/// The state that an engine tells, late.
#[derive(Clone, Debug, Deserialize)]
struct Told {
    fence: String,
    loaded: String,
    manifests: Vec<Digest>,
}

/// What an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct State {
    /// The highest fence that it has taken an order under.
    pub(crate) fence: Fence,
    /// The fence of the order under which it loaded what it holds.
    pub(crate) loaded: Fence,
    /// What it holds; empty if nothing.
    pub(crate) manifests: Vec<Digest>,
}

/// An order to load.
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
    let (status, _, bytes) = client.get(addr, "/engine", MOST, STATE).await?;
    if status != 200 {
        return Err(lost(addr, &format!("status {status}")));
    }
    let told: Told =
        serde_json::from_slice(&bytes).map_err(|e| lost(addr, &e))?;
    Ok(State {
        fence: told.fence.parse()?,
        loaded: told.loaded.parse()?,
        manifests: told.manifests,
    })
}

/// Orders an engine to load.
pub(crate) async fn load(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
    load: &Load,
) -> Result<(), Error> {
    let json =
        serde_json::to_vec(load).map_err(|e| Error::new(Code::Internal, e))?;
    order(client, addr, "/engine/load", fence, json).await
}

/// Orders an engine to go on in its role, so that it remembers the fence.
pub(crate) async fn role(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
) -> Result<(), Error> {
    order(client, addr, "/engine/role", fence, Vec::new()).await
}

/// Orders an engine to drop what it holds.
pub(crate) async fn unload(
    client: &Client,
    addr: SocketAddr,
    fence: Fence,
) -> Result<(), Error> {
    order(client, addr, "/engine/unload", fence, Vec::new()).await
}

async fn order(
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
        .send(addr, request, LOAD)
        .await
        .map_err(|e: CallError| lost(addr, &e))?;
    let status = response.status().as_u16();
    let body = read(response.into_body(), MOST, STATE).await?;
    match status {
        200 => Ok(()),
        409 => Err(Error::new(
            Code::EngineRefused,
            format_args!("{addr} under fence {fence}"),
        )),
        other => {
            let why = String::from_utf8_lossy(&body);
            Err(lost(addr, &format!("status {other}: {why}")))
        }
    }
}

fn lost(addr: SocketAddr, why: &dyn std::fmt::Display) -> Error {
    Error::new(Code::EngineLost, format_args!("{addr}: {why}"))
}
