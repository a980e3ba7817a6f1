//! The listening sockets of a process.

use std::net::{IpAddr, SocketAddr, TcpListener};

use stairhinge::{Code, Error};

use crate::settings::Values;

/// The bound listening sockets of a process.
///
/// The sockets also serve as a lock between the old and the new process of an
/// instance: the new one cannot bind them while the old one holds them.
#[derive(Debug)]
pub struct Listeners {
    pub(crate) http: TcpListener,
    pub(crate) control: TcpListener,
}

impl Listeners {
    /// Binds the addresses that a settings file configures.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if another process holds one of them.
    pub fn of(values: &Values) -> Result<Listeners, Error> {
        Ok(Listeners {
            http: bind(values.address("http"))?,
            control: bind(values.address("control"))?,
        })
    }

    /// Binds free ports of an IP address, to run many roles in one process.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if no port is free.
    pub fn free(ip: IpAddr) -> Result<Listeners, Error> {
        let any = SocketAddr::new(ip, 0);
        Ok(Listeners { http: bind(any)?, control: bind(any)? })
    }

    /// Returns the address for requests and the one for control calls.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the system does not report an address.
    pub fn addresses(&self) -> Result<(SocketAddr, SocketAddr), Error> {
        let local_addr = |l: &TcpListener| {
            l.local_addr().map_err(|e| Error::new(Code::CannotBind, e))
        };
        Ok((local_addr(&self.http)?, local_addr(&self.control)?))
    }

    /// Returns the listener for requests and the one for control calls.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the runtime cannot register the first listener.
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
