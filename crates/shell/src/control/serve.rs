//! The server side of control calls.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt as _;
use stairhinge::Ran;
use stairhinge::request::{Attempt, Key};
use stairhinge_schema::fleet_capnp::{operator, peer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use super::convert::{
    from_kind, from_ran, get_news, get_poison, get_report, get_seen, put_news,
    put_poison, put_pulled, put_report, text, to_ran,
};
use super::counted::Counted;
use super::fleet::put_fleet;
use super::{ClaimRequest, Control};
use crate::Shutdown;

/// Serves control calls on a listener until the process shuts down.
pub(super) async fn accept(
    listener: TcpListener,
    control: Arc<dyn Control>,
    bytes: Arc<AtomicU64>,
    shutdown: Shutdown,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let control = Arc::clone(&control);
        let bytes = Arc::clone(&bytes);
        let shutdown = shutdown.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = connection(stream, control, bytes) => {}
                () = shutdown.wait() => {}
            }
        });
    }
}

async fn connection(
    stream: TcpStream,
    control: Arc<dyn Control>,
    bytes: Arc<AtomicU64>,
) {
    let (reader, writer) = Counted::new(stream, bytes).compat().split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        Default::default(),
    );
    let client: peer::Client = new_client(ControlServer(control));
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(err) = system.await {
        log::debug!("control connection failed: {err}");
    }
}

/// Adapts a [`Control`] to the RPC interfaces of the schema.
struct ControlServer(Arc<dyn Control>);

impl peer::Server for ControlServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let from = get_report(params.get()?.get_report()?)?;
        let own = self.0.exchange(from);
        put_report(&own, results.get().init_report());
        Ok(())
    }

    async fn pull(
        self: Rc<Self>,
        params: peer::PullParams,
        mut results: peer::PullResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let kind = from_kind(params.get_kind()?);
        let holds = get_seen(params.get_holds()?)?;
        let found = self.0.pull(kind, holds);
        let mut out = results.get();
        out.set_found(found.is_some());
        if let Some(pulled) = found {
            put_pulled(&pulled, out.init_document());
        }
        Ok(())
    }

    async fn news(
        self: Rc<Self>,
        params: peer::NewsParams,
        mut results: peer::NewsResults,
    ) -> Result<(), capnp::Error> {
        let from = get_news(params.get()?.get_news()?)?;
        let own = self.0.news(from);
        put_news(&own, results.get().init_news());
        Ok(())
    }

    async fn poison(
        self: Rc<Self>,
        params: peer::PoisonParams,
        mut results: peer::PoisonResults,
    ) -> Result<(), capnp::Error> {
        let from = get_poison(params.get()?.get_poison()?)?;
        let own = self.0.poison(from);
        put_poison(&own, results.get().init_poison());
        Ok(())
    }

    async fn revoke(
        self: Rc<Self>,
        params: peer::RevokeParams,
        mut results: peer::RevokeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let attempt = Attempt::received(&text(params.get_attempt())?);
        let ran = self.0.revoke(&attempt, params.get_incarnation());
        results.get().set_ran(to_ran(ran));
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let claim = params.get()?.get_claim()?;
        let ask = ClaimRequest {
            key: Key::received(&text(claim.get_key())?),
            holder: text(claim.get_holder())?,
            revision: claim.get_revision(),
            former: claim.get_former(),
        };
        let grant = self.0.claim(ask).await;
        let mut out = results.get().init_grant();
        out.set_revision(grant.revision);
        if let Err((err, wait)) = &grant.result {
            out.set_code(err.code().number());
            out.set_message(err.message());
            out.set_wait_ms(wait.as_millis().min(u128::from(u32::MAX)) as u32);
        }
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: peer::SettleParams,
        _: peer::SettleResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = Key::received(&text(params.get_key())?);
        let holder = text(params.get_holder())?;
        let ran: Ran = from_ran(params.get_ran()?);
        self.0.settle(&key, &holder, ran);
        Ok(())
    }

    async fn operator(
        self: Rc<Self>,
        _: peer::OperatorParams,
        mut results: peer::OperatorResults,
    ) -> Result<(), capnp::Error> {
        let served = ControlServer(Arc::clone(&self.0));
        results.get().set_operator(new_client(served));
        Ok(())
    }
}

impl operator::Server for ControlServer {
    async fn status(
        self: Rc<Self>,
        _: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> Result<(), capnp::Error> {
        let reports = self.0.reports();
        let mut out = results.get().init_reports(reports.len() as u32);
        for (i, report) in reports.iter().enumerate() {
            put_report(report, out.reborrow().get(i as u32));
        }
        Ok(())
    }

    async fn explain(
        self: Rc<Self>,
        params: operator::ExplainParams,
        mut results: operator::ExplainResults,
    ) -> Result<(), capnp::Error> {
        let version = text(params.get()?.get_version())?;
        let lines = self.0.explain(&version);
        let mut out = results.get().init_lines(lines.len() as u32);
        for (i, line) in lines.iter().enumerate() {
            out.set(i as u32, line.as_str());
        }
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        params: operator::DrainParams,
        mut results: operator::DrainResults,
    ) -> Result<(), capnp::Error> {
        let based = params.get()?.get_based_on();
        let mut out = results.get();
        match self.0.drain(based) {
            Ok(()) => out.set_message("leaving"),
            Err(err) => {
                out.set_code(err.code().number());
                out.set_message(err.message());
            }
        }
        Ok(())
    }

    async fn fleet(
        self: Rc<Self>,
        _: operator::FleetParams,
        mut results: operator::FleetResults,
    ) -> Result<(), capnp::Error> {
        let fleet = self.0.fleet();
        let mut out = results.get();
        out.set_found(fleet.is_some());
        if let Some(fleet) = fleet {
            put_fleet(&fleet, out.init_fleet());
        }
        Ok(())
    }
}
