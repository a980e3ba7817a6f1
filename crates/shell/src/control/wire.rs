//! The handle to the control thread of a process, and its outgoing calls.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use stairhinge::document::{Kind, Seen};
use stairhinge::request::{Attempt, Key};
use stairhinge::{Code, Error, Ran};
use stairhinge_schema::fleet_capnp::{operator, peer};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::convert::{
    from_ran, get_news, get_poison, get_pulled, get_report, put_news,
    put_poison, put_report, put_seen, text, to_kind, to_ran,
};
use super::links::{Job, control_thread};
use super::{
    ClaimRequest, Control, Grant, News, PoisonUpdate, Pulled, Report, serve,
};
use crate::Shutdown;

/// The handle to a process's control thread; clones share it.
#[derive(Clone, Debug)]
pub struct Wire {
    jobs: mpsc::UnboundedSender<Job>,
    bytes: Arc<AtomicU64>,
}

impl Wire {
    /// Starts the control thread, which runs until the last handle is dropped.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the thread cannot be started.
    pub fn start() -> Result<Wire, Error> {
        let (tx, rx) = mpsc::unbounded_channel();
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&bytes);
        let run = move || control_thread(rx, counter);
        thread::Builder::new()
            .name("control".into())
            .spawn(run)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(Wire { jobs: tx, bytes })
    }

    /// Returns the bytes sent and received by all control calls so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Serves control calls on a listener until the process shuts down.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the listener cannot be set to non-blocking.
    pub fn serve(
        &self,
        listener: std::net::TcpListener,
        control: Arc<dyn Control>,
        shutdown: Shutdown,
    ) -> Result<(), Error> {
        listener
            .set_nonblocking(true)
            .map_err(|e| Error::new(Code::CannotBind, e))?;
        let bytes = Arc::clone(&self.bytes);
        self.run(Box::new(move |_| {
            Box::pin(async move {
                match TcpListener::from_std(listener) {
                    Ok(listener) => {
                        serve::accept(listener, control, bytes, shutdown)
                            .await;
                    }
                    Err(err) => {
                        log::error!("cannot serve control calls: {err}")
                    }
                }
            })
        }));
        Ok(())
    }

    fn run(&self, job: Job) {
        if self.jobs.send(job).is_err() {
            log::error!("the control thread has stopped");
        }
    }

    /// Makes one call on the control thread, with a timeout.
    async fn call<T, F, Fut>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, Error>
    where
        T: Send + 'static,
        F: FnOnce(peer::Client) -> Fut + Send + 'static,
        Fut: Future<Output = Result<T, capnp::Error>> + 'static,
    {
        let (tx, rx) = oneshot::channel();
        self.run(Box::new(move |links| {
            Box::pin(async move {
                let done = links.call(addr, timeout, call).await;
                // The caller may have been cancelled.
                let _ = tx.send(done);
            })
        }));
        rx.await.unwrap_or_else(|_| {
            Err(Error::new(Code::Internal, "the control thread has stopped"))
        })
    }

    /// Exchanges reports with a peer.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`] if the connection or the call fails or times out,
    /// as for all calls here.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        report: Report,
    ) -> Result<Report, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.exchange_request();
            put_report(&report, request.get().init_report());
            let response = request.send().promise.await?;
            get_report(response.get()?.get_report()?)
        })
        .await
    }

    /// Exchanges the revisions of the documents with a peer.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn news(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        news: News,
    ) -> Result<News, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.news_request();
            put_news(&news, request.get().init_news());
            let response = request.send().promise.await?;
            get_news(response.get()?.get_news()?)
        })
        .await
    }

    /// Exchanges records of poisoned requests with a peer.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn poison(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        update: PoisonUpdate,
    ) -> Result<PoisonUpdate, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.poison_request();
            put_poison(&update, request.get().init_poison());
            let response = request.send().promise.await?;
            get_poison(response.get()?.get_poison()?)
        })
        .await
    }

    /// Pulls a document from a peer, whole or as a difference from `holds`;
    /// `None` if the peer has no newer revision.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn pull(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        kind: Kind,
        holds: Seen,
    ) -> Result<Option<Pulled>, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.pull_request();
            request.get().set_kind(to_kind(kind));
            put_seen(holds, request.get().init_holds());
            let response = request.send().promise.await?;
            let response = response.get()?;
            if !response.get_found() {
                return Ok(None);
            }
            Ok(Some(get_pulled(response.get_document()?)?))
        })
        .await
    }

    /// Revokes an attempt that was sent to an incarnation of an agent.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the attempt may have run.
    pub async fn revoke(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        attempt: Attempt,
        incarnation: u64,
    ) -> Result<Ran, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.revoke_request();
            request.get().set_attempt(attempt.as_str());
            request.get().set_incarnation(incarnation);
            let response = request.send().promise.await?;
            Ok(from_ran(response.get()?.get_ran()?))
        })
        .await
    }

    /// Claims an idempotency key from its guard.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the key may have been granted.
    pub async fn claim(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        ask: ClaimRequest,
    ) -> Result<Grant, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.claim_request();
            let mut claim = request.get().init_claim();
            claim.set_key(ask.key.as_str());
            claim.set_holder(&*ask.holder);
            claim.set_revision(ask.revision);
            claim.set_former(ask.former);
            let response = request.send().promise.await?;
            let grant = response.get()?.get_grant()?;
            let wait = Duration::from_millis(u64::from(grant.get_wait_ms()));
            let result = match grant.get_code() {
                0 => Ok(()),
                num => {
                    let code =
                        Code::from_number(num).unwrap_or(Code::Internal);
                    let why = text(grant.get_message())?;
                    Err((Error::new(code, why), wait))
                }
            };
            Ok(Grant { result, revision: grant.get_revision() })
        })
        .await
    }

    /// Tells a guard whether the holder of a key ran.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the key stays claimed until its window ends.
    pub async fn settle(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        key: Key,
        holder: Arc<str>,
        ran: Ran,
    ) -> Result<(), Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = peer.settle_request();
            request.get().set_key(key.as_str());
            request.get().set_holder(&*holder);
            request.get().set_ran(to_ran(ran));
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Returns the reports of all processes known to a process.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn status(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Vec<Report>, Error> {
        self.call(addr, timeout, |peer| async move {
            let request = operator_of(&peer).status_request();
            let response = request.send().promise.await?;
            let mut reports = Vec::new();
            for report in response.get()?.get_reports()? {
                reports.push(get_report(report)?);
            }
            Ok(reports)
        })
        .await
    }

    /// Asks a process to explain how a version reached it.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn explain(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        version: Arc<str>,
    ) -> Result<Vec<String>, Error> {
        self.call(addr, timeout, move |peer| async move {
            let mut request = operator_of(&peer).explain_request();
            request.get().set_version(&*version);
            let response = request.send().promise.await?;
            let mut lines = Vec::new();
            for line in response.get()?.get_lines()? {
                lines.push(line?.to_string()?);
            }
            Ok(lines)
        })
        .await
    }

    /// Orders a process to drain; `based_on` is the revision of the
    /// declaration that the operator has seen.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`], or the code with which the process refuses.
    pub async fn drain(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        based_on: u64,
    ) -> Result<(), Error> {
        let (code, why) = self
            .call(addr, timeout, move |peer| async move {
                let mut request = operator_of(&peer).drain_request();
                request.get().set_based_on(based_on);
                let response = request.send().promise.await?;
                let response = response.get()?;
                Ok((response.get_code(), text(response.get_message())?))
            })
            .await?;
        match Code::from_number(code) {
            None => Ok(()),
            Some(code) => Err(Error::new(code, why)),
        }
    }

    /// Returns the revision of the declaration that a process holds, with
    /// the fleet's name and its models with the version each serves.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn fleet(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<(u64, Vec<(Arc<str>, Arc<str>)>), Error> {
        self.call(addr, timeout, |peer| async move {
            let request = operator_of(&peer).fleet_request();
            let response = request.send().promise.await?;
            let fleet = response.get()?.get_fleet()?;
            let mut models = Vec::new();
            for model in fleet.get_models()? {
                let name = text(model.get_name())?;
                models.push((name, text(model.get_serve())?));
            }
            Ok((fleet.get_revision(), models))
        })
        .await
    }
}

fn operator_of(peer: &peer::Client) -> operator::Client {
    peer.operator_request().send().pipeline.get_operator()
}
