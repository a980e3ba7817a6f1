//! The listening addresses of a process.

use std::net::{IpAddr, SocketAddr, TcpListener};

use stairhinge::{Code, Error};

use crate::settings::Values;

/// The listening addresses of a process, bound.
///
/// A bound address is also the lock between an old and a new process of one
/// instance: the second one cannot take the slot while the first holds it.
#[derive(Debug)]
pub struct Slot {
    pub(crate) http: TcpListener,
    pub(crate) control: TcpListener,
}

impl Slot {
    /// Binds the addresses of a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if another process holds one of them.
    pub fn of(values: &Values) -> Result<Slot, Error> {
        Ok(Slot {
            http: bind(values.address("http"))?,
            control: bind(values.address("control"))?,
        })
    }

    /// Binds free ports of an address, for many roles in one process.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if there is none.
    pub fn free(ip: IpAddr) -> Result<Slot, Error> {
        let any = SocketAddr::new(ip, 0);
        Ok(Slot { http: bind(any)?, control: bind(any)? })
    }

    /// Returns where the process takes requests and where control calls.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the system does not tell.
    pub fn addresses(&self) -> Result<(SocketAddr, SocketAddr), Error> {
        let told = |l: &TcpListener| {
            l.local_addr().map_err(|e| Error::new(Code::CannotBind, e))
        };
        Ok((told(&self.http)?, told(&self.control)?))
    }

    /// Takes the slot apart: the listener of requests, that of control calls.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the first cannot be taken over by the runtime.
    pub fn split(
        self,
    ) -> Result<(tokio::net::TcpListener, TcpListener), Error> {
        let http = tokio::net::TcpListener::from_std(self.http)
            .map_err(|e| Error::new(Code::CannotBind, e))?;
        Ok((http, self.control))
    }
}

fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(addr).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound
        .map_err(|e| Error::new(Code::CannotBind, format_args!("{addr}: {e}")))
}
