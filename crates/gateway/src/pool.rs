//! A pool of keep-alive connections to replicas.
//!
//! A connection carries one request at a time and is returned to the pool
//! only after a complete answer. Dropping it closes it immediately, which
//! also tells the replica that the caller has disconnected.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use tokio::task::AbortHandle;

use crate::connect::connect;

/// How long a connection may stay idle if the replica's answer has no
/// `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum time that a connection may stay idle, whatever the replica
/// allows. A time that is too long cannot be added to a clock.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// How long before the replica's `Keep-Alive` timeout a connection is closed.
const CLOSE_MARGIN: Duration = Duration::from_millis(800);

/// The maximum idle time of a connection for a request that must not be
/// repeated; the peer may be closing one that has been idle for longer.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(500);

/// The maximum size of the head of an answer, in bytes. Of a head that never
/// ends no more is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The number of interim responses to one request after which its connection
/// is closed.
const MAX_INTERIM: usize = 32;

/// The maximum number of idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 24;

/// A connection to a replica, which is closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    replica: Arc<str>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sends a request and returns the answer once its head has arrived.
    pub(crate) fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> impl Future<Output = hyper::Result<Response<Incoming>>> + use<> {
        let (task, count) = (self.task.clone(), AtomicUsize::new(0));
        hyper::ext::on_informational(&mut request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
                task.abort();
            }
        });
        self.sender.send_request(request)
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// The idle connections of one entry, by the incarnation of the replica.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// Returns an idle connection to a replica, or opens a new one.
    ///
    /// If `fresh` is set, connections that have been idle for longer than
    /// [`MAX_FRESH_IDLE`] are not used.
    ///
    /// # Errors
    ///
    /// If there is no usable idle connection and no new one can be opened.
    pub(crate) async fn get(
        &self,
        replica: &Arc<str>,
        addr: SocketAddr,
        fresh: bool,
    ) -> std::io::Result<Connection> {
        while let Some(mut idle) = self.take(replica, fresh) {
            if idle.connection.sender.ready().await.is_ok() {
                return Ok(idle.connection);
            }
        }
        let io = connect(addr).await?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The request on the connection reports its error.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            replica: Arc::clone(replica),
        })
    }

    fn take(&self, replica: &Arc<str>, fresh: bool) -> Option<Idle> {
        let now = Instant::now();
        let mut idle = self.lock();
        let kept = idle.get_mut(replica)?;
        while let Some(last) = kept.pop() {
            if last.connection.sender.is_closed() || last.until <= now {
                continue;
            }
            if fresh && now.duration_since(last.since) > MAX_FRESH_IDLE {
                // Those before it have been idle for even longer.
                kept.push(last);
                return None;
            }
            return Some(last);
        }
        None
    }

    /// Returns a connection to the pool after a complete answer with these
    /// headers.
    pub(crate) fn put(&self, connection: Connection, headers: &HeaderMap) {
        let Some(idle_time) = idle_timeout(headers) else { return };
        let now = Instant::now();
        let until = now + idle_time.min(MAX_IDLE_TIMEOUT);
        let mut idle = self.lock();
        let kept = idle.entry(Arc::clone(&connection.replica)).or_default();
        if kept.len() >= MAX_IDLE_PER_REPLICA {
            kept.remove(0);
        }
        kept.push(Idle { connection, since: now, until });
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|i| i.until > now && !i.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Arc<str>, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how long a connection may stay idle after an answer with these
/// headers, or `None` if it must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    for value in headers.get_all(CONNECTION) {
        let text = value.to_str().unwrap_or("close");
        if text.to_ascii_lowercase().contains("close") {
            return None;
        }
    }
    let Some(value) = headers.get("keep-alive") else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let text = value.to_str().ok()?;
    for part in text.split(',') {
        let Some(seconds) = part.trim().strip_prefix("timeout=") else {
            continue;
        };
        let seconds: u64 = seconds.trim().parse().ok()?;
        let timeout = Duration::from_secs(seconds);
        return timeout.checked_sub(CLOSE_MARGIN).filter(|t| !t.is_zero());
    }
    Some(DEFAULT_IDLE_TIMEOUT)
}
