//! The control thread and its outgoing connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt as _;
use futures::future::LocalBoxFuture;
use stairhinge::{Code, Error};
use stairhinge_schema::fleet_capnp::peer;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use super::counted::Counted;

/// A task to spawn on the control thread.
pub(super) type Job =
    Box<dyn FnOnce(Rc<Links>) -> LocalBoxFuture<'static, ()> + Send>;

/// Timeout to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs jobs until the last [`Wire`](super::Wire) is dropped.
pub(super) fn control_thread(
    mut jobs: mpsc::UnboundedReceiver<Job>,
    bytes: Arc<AtomicU64>,
) {
    let built =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(err) => return log::error!("cannot start control runtime: {err}"),
    };
    let links = Rc::new(Links {
        peers: RefCell::default(),
        made: Cell::new(0),
        bytes,
    });
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        while let Some(job) = jobs.recv().await {
            tokio::task::spawn_local(job(Rc::clone(&links)));
        }
    });
}

/// The outgoing connections of the control thread, by peer address.
pub(super) struct Links {
    peers: RefCell<HashMap<SocketAddr, (u64, peer::Client)>>,
    /// Number of links made so far; the newest has this number as its id.
    made: Cell<u64>,
    bytes: Arc<AtomicU64>,
}

impl Links {
    pub(super) async fn call<T, F, Fut>(
        self: &Rc<Links>,
        addr: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, Error>
    where
        F: FnOnce(peer::Client) -> Fut,
        Fut: Future<Output = Result<T, capnp::Error>>,
    {
        let lost = |why: &dyn std::fmt::Display| {
            Error::new(Code::PeerLost, format_args!("{addr}: {why}"))
        };
        let (id, client) = self.link(addr).await.map_err(|e| lost(&e))?;
        match tokio::time::timeout(timeout, call(client)).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(err)) => {
                self.remove_link(addr, id);
                Err(lost(&err))
            }
            Err(_) => {
                self.remove_link(addr, id);
                Err(lost(&format!(
                    "no response within {} ms",
                    timeout.as_millis()
                )))
            }
        }
    }

    async fn link(
        self: &Rc<Links>,
        addr: SocketAddr,
    ) -> std::io::Result<(u64, peer::Client)> {
        if let Some(found) = self.peers.borrow().get(&addr) {
            return Ok(found.clone());
        }
        let connecting = TcpStream::connect(addr);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        let counted = Counted::new(stream, Arc::clone(&self.bytes));
        let (reader, writer) = counted.compat().split();
        let network = twoparty::VatNetwork::new(
            reader,
            writer,
            rpc_twoparty_capnp::Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client =
            system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let id = self.made.get() + 1;
        self.made.set(id);
        self.peers.borrow_mut().insert(addr, (id, client.clone()));
        let links = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Err(err) = system.await {
                log::debug!("control connection to {addr} failed: {err}");
            }
            // The connection is closed: a later call opens a new one.
            links.remove_link(addr, id);
        });
        Ok((id, client))
    }

    /// Removes a failed link, unless a newer one has replaced it.
    fn remove_link(&self, addr: SocketAddr, id: u64) {
        let mut peers = self.peers.borrow_mut();
        if peers.get(&addr).is_some_and(|(known, _)| *known == id) {
            peers.remove(&addr);
        }
    }
}
