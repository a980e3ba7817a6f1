//! Datagrams between entries.
//!
//! A connection that has gone silent would hold a question up until a
//! time-out; a datagram has nothing to wait for. What is lost on the way is
//! made good by patience and expiry.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use stairhinge::placing::Message;
use stairhinge::{Code, Error};
use tokio::net::UdpSocket;

/// The longest datagram, in bytes: a question with a few tried replicas takes
/// 400.
const MOST: usize = 4_096;

/// The senders of bad messages that are remembered.
const MOST_FAULTY: usize = 64;

/// The socket at which an entry asks and answers.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    faulty: Mutex<HashSet<SocketAddr>>,
}

impl PeerSocket {
    /// Returns the socket at an address.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the address is taken.
    pub(crate) async fn bind(addr: SocketAddr) -> Result<PeerSocket, Error> {
        let socket = UdpSocket::bind(addr).await.map_err(|e| {
            Error::new(Code::CannotBind, format_args!("{addr}, UDP: {e}"))
        })?;
        Ok(PeerSocket { socket, faulty: Mutex::default() })
    }

    /// Sends a message. One that cannot be sent at once is lost, as it may
    /// be on its way: no request waits for a full socket.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        let Ok(json) = serde_json::to_vec(message) else { return };
        let _ = self.socket.try_send_to(&json, to);
    }

    /// Waits for the next message.
    pub(crate) async fn receive(
        &self,
    ) -> (SocketAddr, Result<Message, Error>) {
        let mut buffer = [0; MOST];
        loop {
            // An error here tells of an earlier datagram that did not arrive.
            let got = self.socket.recv_from(&mut buffer).await;
            if let Ok((length, from)) = got {
                return (from, parse(&buffer[..length]));
            }
        }
    }

    /// Returns the next message if it is here already.
    pub(crate) fn try_receive(
        &self,
    ) -> Option<(SocketAddr, Result<Message, Error>)> {
        let mut buffer = [0; MOST];
        let got = self.socket.try_recv_from(&mut buffer);
        got.ok().map(|(length, from)| (from, parse(&buffer[..length])))
    }

    /// Returns whether this is the first bad message of a sender.
    pub(crate) fn is_first_fault(&self, from: SocketAddr) -> bool {
        let mut faulty =
            self.faulty.lock().unwrap_or_else(PoisonError::into_inner);
        faulty.len() < MOST_FAULTY && faulty.insert(from)
    }
}

fn parse(bytes: &[u8]) -> Result<Message, Error> {
    serde_json::from_slice(bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))
}
