//! The handle to a process's control thread, and the calls that go out.

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
    ClaimAsk, Control, Grant, News, PoisonTold, Pulled, Report, serve,
};
use crate::Shutdown;

/// The handle to a process's control thread; clones share it.
#[derive(Clone, Debug)]
pub struct Wire {
    jobs: mpsc::UnboundedSender<Job>,
    bytes: Arc<AtomicU64>,
}

impl Wire {
    /// Starts the control thread. It ends with the last handle.
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

    /// Returns the bytes of all control calls so far, both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Answers control calls on a listener until the process stops.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the listener cannot be taken over.
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
                    Err(err) => log::error!("control listener: {err}"),
                }
            })
        }));
        Ok(())
    }

    fn run(&self, job: Job) {
        if self.jobs.send(job).is_err() {
            log::error!("the control thread is gone");
        }
    }

    /// Makes one call on the thread, within a time.
    async fn call<T, F, Fut>(
        &self,
        addr: SocketAddr,
        within: Duration,
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
                let done = links.call(addr, within, call).await;
                // The asker may have gone.
                let _ = tx.send(done);
            })
        }));
        rx.await.unwrap_or_else(|_| {
            Err(Error::new(Code::Internal, "the control thread is gone"))
        })
    }

    /// Exchanges reports.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`], as all calls here.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        within: Duration,
        report: Report,
    ) -> Result<Report, Error> {
        self.call(addr, within, move |peer| async move {
            let mut request = peer.exchange_request();
            put_report(&report, request.get().init_report());
            let response = request.send().promise.await?;
            get_report(response.get()?.get_report()?)
        })
        .await
    }

    /// Tells a peer how far this process has got, and hears the same of it.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn news(
        &self,
        addr: SocketAddr,
        within: Duration,
        news: News,
    ) -> Result<News, Error> {
        self.call(addr, within, move |peer| async move {
            let mut request = peer.news_request();
            put_news(&news, request.get().init_news());
            let response = request.send().promise.await?;
            get_news(response.get()?.get_news()?)
        })
        .await
    }

    /// Tells a peer of poisoned requests, and hears of some.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn poison(
        &self,
        addr: SocketAddr,
        within: Duration,
        told: PoisonTold,
    ) -> Result<PoisonTold, Error> {
        self.call(addr, within, move |peer| async move {
            let mut request = peer.poison_request();
            put_poison(&told, request.get().init_poison());
            let response = request.send().promise.await?;
            get_poison(response.get()?.get_poison()?)
        })
        .await
    }

    /// Pulls what leads from what is held here to what the peer has newer.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn pull(
        &self,
        addr: SocketAddr,
        within: Duration,
        kind: Kind,
        holds: Seen,
    ) -> Result<Option<Pulled>, Error> {
        self.call(addr, within, move |peer| async move {
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

    /// Revokes an attempt meant for an incarnation of an agent.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the attempt may have run.
    pub async fn revoke(
        &self,
        addr: SocketAddr,
        within: Duration,
        attempt: Attempt,
        incarnation: u64,
    ) -> Result<Ran, Error> {
        self.call(addr, within, move |peer| async move {
            let mut request = peer.revoke_request();
            request.get().set_attempt(attempt.as_str());
            request.get().set_incarnation(incarnation);
            let response = request.send().promise.await?;
            Ok(from_ran(response.get()?.get_ran()?))
        })
        .await
    }

    /// Asks a guard for a key.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the key may have been granted.
    pub async fn claim(
        &self,
        addr: SocketAddr,
        within: Duration,
        ask: ClaimAsk,
    ) -> Result<Grant, Error> {
        self.call(addr, within, move |peer| async move {
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

    /// Tells a guard how the holder of a key ended.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`]; then the key stays taken for its window.
    pub async fn settle(
        &self,
        addr: SocketAddr,
        within: Duration,
        key: Key,
        holder: Arc<str>,
        ran: Ran,
    ) -> Result<(), Error> {
        self.call(addr, within, move |peer| async move {
            let mut request = peer.settle_request();
            request.get().set_key(key.as_str());
            request.get().set_holder(&*holder);
            request.get().set_ran(to_ran(ran));
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Returns the reports of all processes that a process knows.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn status(
        &self,
        addr: SocketAddr,
        within: Duration,
    ) -> Result<Vec<Report>, Error> {
        self.call(addr, within, |peer| async move {
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

    /// Asks a process how a version has come there.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`].
    pub async fn explain(
        &self,
        addr: SocketAddr,
        within: Duration,
        version: Arc<str>,
    ) -> Result<Vec<String>, Error> {
        self.call(addr, within, move |peer| async move {
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

    /// Orders a process to leave, based on a revision.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`], or the code with which the process refuses.
    pub async fn drain(
        &self,
        addr: SocketAddr,
        within: Duration,
        based_on: u64,
    ) -> Result<(), Error> {
        let (code, why) = self
            .call(addr, within, move |peer| async move {
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
        within: Duration,
    ) -> Result<(u64, Vec<(Arc<str>, Arc<str>)>), Error> {
        self.call(addr, within, |peer| async move {
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
